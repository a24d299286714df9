package backoff

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/dunlinquay/dunlinquay/ratelimit"
	"github.com/dunlinquay/dunlinquay/result"
)

const (
	// maxTextBytes bounds a Retry-After value; the longest HTTP date has 33 bytes.
	maxTextBytes = 40
	// maxSeconds bounds a number of seconds so that it fits into a time.Duration.
	maxSeconds = 1e9
)

// Notice is what an upstream requests with one answer.
type Notice struct {
	// Backoff is the time for which it requests not to be sent anything, 0 when it names none; RetryAfterText is the header as received,
	// cut to maxTextBytes.
	Backoff        time.Duration
	RetryAfterText string
	// Leaving is set when it announces that it is leaving.
	Leaving bool
	// BackoffErr is set when the requested backoff can't be parsed.
	BackoffErr error
	// Limit is the rate that it accepts from all senders together, if Limited is set; LimitErr is set when its limit can't be parsed.
	Limit    ratelimit.Rate
	Limited  bool
	LimitErr error
	// Header is the header of the answer, nil when it is not known which upstream answered.
	Header http.Header
}

// HeaderNames are the names of the non-standard headers with which upstreams make requests to their senders.
type HeaderNames struct {
	// Leaving marks the answers of an upstream that is leaving, Limit has the requests per second that it accepts from all senders together.
	Leaving string
	Limit   string
}

// ParseNotice parses what an answer requests. The notice of a misdirected request (status 421) is empty, since it is not known which
// upstream answered.
func ParseNotice(resp *http.Response, names HeaderNames, now time.Time) Notice {
	if resp.StatusCode == http.StatusMisdirectedRequest {
		return Notice{}
	}
	text := resp.Header.Get("Retry-After")
	notice := Notice{RetryAfterText: text[:min(maxTextBytes, len(text))], Leaving: resp.Header.Get(names.Leaving) != "", Header: resp.Header}
	notice.Limit, notice.Limited, notice.LimitErr = ratelimit.ParseHeader(resp.Header, names.Limit)
	if IsRefusal(resp.StatusCode) {
		notice.Backoff, notice.BackoffErr = ParseRetryAfter(resp.Header, now)
	}
	return notice
}

// IsRefusal reports whether a status means that the upstream is at capacity; only such answers request a backoff.
func IsRefusal(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// ParseRetryAfter returns the backoff of an answer's Retry-After headers (RFC 9110, section 10.2.3), 0 without any. Seconds can have a
// fraction. A date is compared with the answer's own Date, so that differing clocks do not matter, or with now if there is none.
func ParseRetryAfter(header http.Header, now time.Time) (time.Duration, error) {
	var longest time.Duration
	for _, text := range header["Retry-After"] {
		duration, err := parseOne(strings.TrimSpace(text), header.Get("Date"), now)
		if err != nil {
			return 0, err
		}
		longest = max(longest, duration)
	}
	return longest, nil
}

func parseOne(text, date string, now time.Time) (time.Duration, error) {
	if len(text) > maxTextBytes {
		return 0, result.New(result.BackoffUnreadable, "Retry-After has %d bytes, more than a time needs", len(text))
	}
	if strings.Trim(text, "0123456789.") == "" {
		return parseSeconds(text)
	}
	until, err := http.ParseTime(text)
	if err != nil {
		return 0, unreadableError(text)
	}
	if serverNow, err := http.ParseTime(date); err == nil {
		now = serverNow
	}
	return max(0, until.Sub(now)), nil
}

// parseSeconds parses digits with at most one decimal point.
func parseSeconds(text string) (time.Duration, error) {
	n, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, unreadableError(text)
	}
	return time.Duration(min(n, maxSeconds) * float64(time.Second)), nil
}

func unreadableError(text string) error {
	return result.New(result.BackoffUnreadable, "Retry-After %q is neither a number of seconds nor a date", text)
}
