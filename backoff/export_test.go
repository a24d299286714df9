package backoff

// Len returns the number of records.
func Len[K comparable](l *List[K]) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.records)
}
