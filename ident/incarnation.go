package ident

// An upstream may restart with the same id, and has then lost its previous
// state. All records about an upstream are therefore kept by its incarnation,
// which consists of the id and the start time:
//
//	i-7f3a91c2@mv2k9f3a
//
// Messages to the upstream itself contain only the id.

import (
	"strconv"
	"strings"
)

// StartTime is the time at which an upstream started, in Unix milliseconds by the upstream's clock; 0 if unknown.
type StartTime int64

const (
	startTimeSeparator = "@"
	// startTimeBase makes start times short, since every message about an upstream contains one.
	startTimeBase = 36
)

// IncarnationOf returns the incarnation of the upstream with this id and start time.
func IncarnationOf(id string, startTime StartTime) Incarnation {
	if startTime == 0 {
		return Incarnation(id)
	}
	return Incarnation(id + startTimeSeparator + strconv.FormatInt(int64(startTime), startTimeBase))
}

// IsUpstreamID reports whether id is valid: not empty, and without the separator of the start time.
func IsUpstreamID(id string) bool {
	return id != "" && !strings.Contains(id, startTimeSeparator)
}

// UpstreamID returns the id without the start time, as the upstream knows its id.
func (i Incarnation) UpstreamID() string {
	id, _, _ := strings.Cut(string(i), startTimeSeparator)
	return id
}

// StartTime returns the time at which the upstream started, 0 if unknown.
func (i Incarnation) StartTime() StartTime {
	_, digits, _ := strings.Cut(string(i), startTimeSeparator)
	n, err := strconv.ParseInt(digits, startTimeBase, 64)
	if err != nil {
		return 0
	}
	return StartTime(n)
}
