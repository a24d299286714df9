package inbound

// Generations returns how many servers there are.
func Generations(s *Server) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.generations)
}
