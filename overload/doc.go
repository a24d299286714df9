// Package overload orders the requests that wait while demand exceeds the capacity of the engines, and decides which of them to refuse.
package overload
