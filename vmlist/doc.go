// Package vmlist reads the platform's list of live and leaving VMs, which lags.
package vmlist
