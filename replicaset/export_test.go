package replicaset

// Ended returns how many groups that have ended are remembered.
func (f *Formation) Ended() int { return len(f.over) + len(f.lost) }
