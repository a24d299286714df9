// Package stall tells whether a group of engines stands still, from when its signs are due and from what several entries say.
package stall
