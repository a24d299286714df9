// Package httphead reads the heads of HTTP/1.1 responses, and rejects those that net/http accepts although a proxy must not forward them.
package httphead
