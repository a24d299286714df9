package standin

import (
	"net"
	"net/http"
	"sync"
	"time"
)

const readHeaderTimeout = 5 * time.Second

// Server is an HTTP server that can be killed and started again. Set Listen before Serve.
type Server struct {
	// Listen opens the address; tests replace it.
	Listen func(address string) (net.Listener, error)

	mu      sync.Mutex
	server  *http.Server
	address string
}

// NewServer returns a TCP server that does not listen yet.
func NewServer() *Server {
	return &Server{Listen: func(address string) (net.Listener, error) { return net.Listen("tcp", address) }}
}

// Serve listens on address (host:port; port 0 selects a free port) and serves requests with h until Kill.
func (s *Server) Serve(address string, h http.Handler) error {
	ln, err := s.Listen(address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.address, s.server = ln.Addr().String(), server
	go func() { _ = server.Serve(ln) }()
	return nil
}

// Address returns host:port of the latest listener, also after Kill.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Kill closes the listener and every connection at once.
func (s *Server) Kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server != nil {
		_ = s.server.Close()
		s.server = nil
	}
}

// Listening reports whether the server has been started and not killed since.
func (s *Server) Listening() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.server != nil
}
