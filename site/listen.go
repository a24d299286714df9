package site

import (
	"errors"
	"net"
	"net/http"

	"github.com/go-logr/logr"

	"github.com/dunlinquay/dunlinquay/result"
)

// server serves the connections of a listener until it is closed.
type server interface {
	Serve(ln net.Listener) error
	Close() error
}

// listener is an address and the server for it; it is skipped when the address is empty.
type listener struct {
	address string
	server  server
}

// serveAll starts every listener in the background and returns the servers in the same order.
func serveAll(log logr.Logger, list []listener) ([]server, error) {
	var servers []server
	for _, l := range list {
		if l.address == "" {
			continue
		}
		ln, err := net.Listen("tcp", l.address)
		if err != nil {
			return nil, result.Wrap(err, result.StartFailed, "address %s cannot be used", l.address)
		}
		servers = append(servers, l.server)
		go func() {
			if err := l.server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
				log.Error(err, "listener failed", "address", ln.Addr().String())
			}
		}()
	}
	return servers, nil
}
