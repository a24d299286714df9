package inbound

// Generations returns the number of net/http servers that s has.
func Generations(s *Server) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.generations)
}
