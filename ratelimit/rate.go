package ratelimit

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/dunlinquay/dunlinquay/result"
)

// Rate is a number of requests a second.
type Rate float64

// Header is the name by which engines and workers of our own interface name their limit; another platform may have another one.
const Header = "Request-Rate-Limit"

// maxTextLength bounds the text of a rate.
const maxTextLength = 40

// Interval is the time from one request to the next at that rate, which is not 0.
func (r Rate) Interval() time.Duration {
	return time.Duration(math.Ceil(float64(time.Second) / float64(r)))
}

// ParseHeader returns the rate that an answer names in a header, and whether it names any; of several the lowest counts. What can't be read is
// an error, so that it is taken neither for a rate nor for none.
func ParseHeader(h http.Header, name string) (lowest Rate, found bool, err error) {
	for _, text := range h.Values(name) {
		r, err := parseRate(strings.TrimSpace(text))
		if err != nil {
			return 0, false, err
		}
		if !found || r < lowest {
			lowest, found = r, true
		}
	}
	return lowest, found, nil
}

// SetHeader names a rate in the header of an answer, none when it is 0.
func SetHeader(h http.Header, r Rate) {
	if r > 0 {
		h.Set(Header, strconv.FormatFloat(float64(r), 'f', -1, 64))
	}
}

// parseRate reads digits with at most one point among them.
func parseRate(text string) (Rate, error) {
	if len(text) > maxTextLength {
		return 0, result.New(result.LimitUnreadable, "%d bytes are too long for a rate", len(text))
	}
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || strings.Trim(text, "0123456789.") != "" {
		return 0, result.New(result.LimitUnreadable, "%q is no number of requests a second", text)
	}
	return Rate(n), nil
}
