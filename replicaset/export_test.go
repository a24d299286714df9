package replicaset

// EndedGroupCount returns how many ended and lost groups are kept.
func (f *Formation) EndedGroupCount() int { return len(f.endedGroups) + len(f.lostGroups) }
