// Package settings reads the settings file, JSON with comments, and reports every fault with its place.
package settings
