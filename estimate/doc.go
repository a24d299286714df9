// Package estimate works out how long a request takes at a group of engines, from the engine's published figures.
package estimate
