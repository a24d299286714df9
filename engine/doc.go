// Package engine speaks to model engines over their HTTP interface and holds a small stand-in of one.
package engine
