// Package eventlog writes log lines in JSON without blocking the code that logs; it drops lines if the writer is too slow.
package eventlog
