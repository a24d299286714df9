// Package unread keeps which words upstreams say in their answers that nothing here reads.
package unread
