package ident

// An upstream may start again under the id that it had, and then knows nothing
// of what it was told before. Everything that is kept of an upstream therefore
// goes by its incarnation, which is its id and the time of its start:
//
//	i-7f3a91c2@mv2k9f3a
//
// Only the id goes to the upstream itself.

import (
	"strconv"
	"strings"
)

// StartTime is when an upstream started, in Unix milliseconds by its own clock; 0 when it does not say.
type StartTime int64

const (
	// birthMark stands between the id and the birth in an incarnation.
	birthMark = "@"
	// birthBase keeps births short: they stand in every message about an upstream.
	birthBase = 36
)

// IncarnationOf returns the incarnation of the upstream called id that started at born.
func IncarnationOf(id string, born StartTime) Incarnation {
	if born == 0 {
		return Incarnation(id)
	}
	return Incarnation(id + birthMark + strconv.FormatInt(int64(born), birthBase))
}

// IsUpstreamID reports whether id can be told apart from its birth in an incarnation.
func IsUpstreamID(id string) bool {
	return id != "" && !strings.Contains(id, birthMark)
}

// UpstreamID returns the id that the upstream itself knows.
func (i Incarnation) UpstreamID() string {
	id, _, _ := strings.Cut(string(i), birthMark)
	return id
}

// StartTime returns when the upstream started, 0 when that is not known.
func (i Incarnation) StartTime() StartTime {
	_, text, _ := strings.Cut(string(i), birthMark)
	n, err := strconv.ParseInt(text, birthBase, 64)
	if err != nil {
		return 0
	}
	return StartTime(n)
}
