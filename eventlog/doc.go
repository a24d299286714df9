// Package eventlog writes JSON lines without ever blocking the code that logs.
package eventlog
