package site

// An entry that has just started does not know what its former process used of bounds that apply to all entries
// together. Each entry therefore reports how long it has been running, and the leader returns which fraction of the
// entries is new.

import "time"

// countStartsInterval is the interval at which a leader counts new entries.
const countStartsInterval = 100 * time.Millisecond

// entryStarts holds when entries started within the last window.
type entryStarts struct {
	window    time.Duration
	startedAt map[string]time.Time
	count     int
	countedAt time.Time
}

func newEntryStarts(window time.Duration) *entryStarts {
	return &entryStarts{window: window, startedAt: map[string]time.Time{}}
}

// note records an entry's uptime, 0 if the entry does not report it.
func (s *entryStarts) note(now time.Time, entry string, uptime time.Duration) {
	if uptime > 0 && uptime < s.window {
		s.startedAt[entry] = now.Add(-uptime)
	}
}

// fraction returns the fraction of the given number of entries that started within the window, including those that
// have stopped since.
func (s *entryStarts) fraction(now time.Time, entries int) float64 {
	if now.Sub(s.countedAt) >= countStartsInterval {
		s.countedAt = now
		for entry, startedAt := range s.startedAt {
			if now.Sub(startedAt) >= s.window {
				delete(s.startedAt, entry)
			}
		}
		s.count = len(s.startedAt)
	}
	return min(1, float64(s.count)/float64(max(1, entries)))
}
