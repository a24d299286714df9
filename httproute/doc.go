// Package httproute defines the configuration of HTTP routes, services and customers, and finds a request's route, service and customer.
package httproute
