// Package service speaks HTTP to plain services and holds a small stand-in of one.
package service
