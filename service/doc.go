// Package service is the HTTP client for workers of plain services. It decides which calls may use a kept-alive connection,
// and includes a stand-in service for tests and the demo.
package service
