// Package clock tells the time by a clock that counts what a machine was suspended for and does not follow steps of the time of day.
package clock
