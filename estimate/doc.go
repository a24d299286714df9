// Package estimate predicts iteration times and times to first event of a group of engines from the figures that the engine publishes.
package estimate
