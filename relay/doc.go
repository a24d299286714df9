// Package relay takes callers' HTTP requests and passes each one on to an upstream, once or as often as its route allows.
package relay
