// Package meter sets up metrics and the HTTP server that publishes them to Prometheus.
package meter
