package backoff

// Len returns how many words are kept.
func Len[K comparable](l *List[K]) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.records)
}
