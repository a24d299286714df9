// Package inbound serves callers' connections within bounds on headers and idle time that may change while they are open.
package inbound
