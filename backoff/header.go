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
	// maxTextBytes bounds the text that is read; the longest date of HTTP has 33 bytes.
	maxTextBytes = 40
	// maxSeconds bounds what is read as a number: more does not fit into a duration.
	maxSeconds = 1e9
)

// Notice is what an upstream asks for with one answer.
type Notice struct {
	// Backoff is the time for which it wants nothing, 0 when it names none; Text is what it said, as it came but for its length.
	Backoff        time.Duration
	RetryAfterText string
	// Leaving is set when it says that it leaves.
	Leaving bool
	// BackoffErr tells that what it asks for can't be read.
	BackoffErr error
	// Limit is the rate that it takes from all together, when Limited is set; LimitErr tells that what it names can't be read.
	Limit    ratelimit.Rate
	Limited  bool
	LimitErr error
	// Header is the head of the answer, nil where it is not known who answered.
	Header http.Header
}

// HeaderNames are the names of the headers in which upstreams ask for what HTTP has no word for.
type HeaderNames struct {
	// Leaving stands in the answers of one that leaves, Limit names the requests a second that it takes from all together.
	Leaving string
	Limit   string
}

// ParseNotice reads what an answer asks for. Who answered a misdirected request is not known, so that such an answer asks for nothing.
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

// IsRefusal reports whether a status says that there is no room: only such answers ask for time.
func IsRefusal(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// ParseRetryAfter returns the time that an answer asks for with Retry-After (RFC 9110, section 10.2.3), 0 when it asks for none. Seconds may have
// a fraction. A date is held against the answer's own Date, so that no time of day but the upstream's counts, or against now.
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
		return 0, result.New(result.BackoffUnreadable, "%d bytes are too long for a time", len(text))
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

// parseSeconds reads digits with at most one point among them.
func parseSeconds(text string) (time.Duration, error) {
	n, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, unreadableError(text)
	}
	return time.Duration(min(n, maxSeconds) * float64(time.Second)), nil
}

func unreadableError(text string) error {
	return result.New(result.BackoffUnreadable, "%q is neither a number of seconds nor a date", text)
}
