// Package dispatch carries one admitted request to a whole group and its whole answer back.
package dispatch
