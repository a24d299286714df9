package ratelimit

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/dunlinquay/dunlinquay/result"
)

// Rate is a number of requests per second.
type Rate float64

// Header is the response header in which engines and workers state their limit; other platforms can use another name.
const Header = "Request-Rate-Limit"

const maxTextLength = 40

// Interval returns the time between two requests at the rate, which must not be 0.
func (r Rate) Interval() time.Duration {
	return time.Duration(math.Ceil(float64(time.Second) / float64(r)))
}

// ParseHeader returns the lowest rate in the headers called name, and whether there is any. A value that cannot be
// parsed is an error, so that it counts neither as a rate nor as the absence of a limit.
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

// SetHeader states a rate in a response header; a rate of 0 sets nothing.
func SetHeader(h http.Header, r Rate) {
	if r > 0 {
		h.Set(Header, strconv.FormatFloat(float64(r), 'f', -1, 64))
	}
}

// parseRate accepts digits with at most one decimal point.
func parseRate(text string) (Rate, error) {
	if len(text) > maxTextLength {
		return 0, result.New(result.LimitUnreadable, "rate of %d bytes is too long", len(text))
	}
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || strings.Trim(text, "0123456789.") != "" {
		return 0, result.New(result.LimitUnreadable, "%q is not a number of requests per second", text)
	}
	return Rate(n), nil
}
