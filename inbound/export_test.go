package inbound

import (
	"net"
	"time"
)

// Backlog knows when no connection was waiting to be accepted.
type Backlog struct{ backlog *backlog }

// NewBacklog returns the backlog of a listener.
func NewBacklog(ln net.Listener) Backlog { return Backlog{newBacklog(ln)} }

// Check checks the backlog and returns when it was last empty.
func (b Backlog) Check() time.Time {
	b.backlog.check()
	return *b.backlog.emptyAt.Load()
}

// Generations returns the number of net/http servers that s has.
func Generations(s *Server) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.generations)
}
