// Package unread collects the headers of upstreams' answers that are not recognized.
package unread
