// Package httproute holds one whole configuration of HTTP routes, services and customers, and finds the route of a request.
package httproute
