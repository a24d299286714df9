package replicaset

// EndedGroupCount returns how many groups that have ended are remembered.
func (f *Formation) EndedGroupCount() int { return len(f.endedGroups) + len(f.lostGroups) }
