package httphead

// net/http is lenient where a proxy must not be: a peer could hide an answer in
// the body of another one, or end an answer elsewhere than the caller sees it
// end. So the bytes of a head are checked line by line before net/http parses
// them:
//
//	HTTP/1.1 000 X     rejected: status
//	Content-Length: 2  never parsed

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

const (
	// MaxBytes bounds the head of a response, which is shorter.
	MaxBytes = 64 << 10
	// maxFields bounds the fields of a head: net/http needs many times the bytes of short ones.
	maxFields = 256
	// maxLineBytes bounds the part of a line that is checked: a status, or a name and its colon.
	maxLineBytes = 1 << 10
	// maxQuotedBytes bounds the part of a rejected line that an error quotes.
	maxQuotedBytes = 64
)

// Rule is the rule that a rejected head breaks. The value is a label of a metric.
type Rule string

// The rules.
const (
	// RuleVersion requires a version HTTP/1.x.
	RuleVersion Rule = "version"
	// RuleStatus requires a status of three digits that HTTP defines (RFC 9110, section 15), other than 101: no request asks for an upgrade.
	RuleStatus Rule = "status"
	// RuleFieldName requires each line after the first to be a field whose name is a token that a colon follows (RFC 9112, section 5.1). This
	// excludes lines that continue a field, which a proxy may reject (section 5.2).
	RuleFieldName Rule = "field-name"
	// RuleSize bounds the bytes of a head, RuleFieldCount its fields.
	RuleSize       Rule = "size"
	RuleFieldCount Rule = "field-count"
	// RuleFraming excludes a transfer encoding in HTTP/1.0, which net/http ignores (RFC 9112, section 6.1).
	RuleFraming Rule = "framing"
)

// Error says why a head was rejected.
type Error struct {
	Rule Rule
	// Line is the start of the line that breaks the rule, quoted.
	Line string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("response head breaks the rule %q at %s", e.Rule, e.Line)
}

func newError(rule Rule, line []byte) *Error {
	return &Error{rule, fmt.Sprintf("%+q", line[:min(maxQuotedBytes, len(line))])}
}

// Checker checks the head of one response while its bytes arrive. The zero value is ready for use.
type Checker struct {
	// line is the start of the current line, of which earlier calls got a part.
	line   []byte
	size   int
	fields int
	// isHTTP10 is set for a response of HTTP/1.0.
	isHTTP10 bool
	status   int
	done     bool
}

// Done reports whether the whole head was checked.
func (c *Checker) Done() bool { return c.done }

// Interim reports whether the response is followed by another one to the same request.
func (c *Checker) Interim() bool { return c.status < http.StatusOK }

// Check checks the next bytes of a connection, and returns how many of them belong to the head. An error is an *Error.
func (c *Checker) Check(b []byte) (n int, err error) {
	for n < len(b) && !c.done && err == nil {
		part := b[n:]
		if end := bytes.IndexByte(part, '\n'); end >= 0 {
			part = part[:end+1]
		}
		err = c.add(part)
		n += len(part)
	}
	return n, err
}

// add adds a part of the current line, which the part may end.
func (c *Checker) add(part []byte) error {
	c.size += len(part)
	line, whole := part, part[len(part)-1] == '\n'
	if len(c.line) > 0 || !whole {
		c.line = append(c.line, part[:min(len(part), maxLineBytes-len(c.line))]...)
		line = c.line
	}
	line = line[:min(len(line), maxLineBytes)]
	if c.size >= MaxBytes {
		return newError(RuleSize, line)
	}
	if whole {
		c.line = c.line[:0]
		if err := c.checkLine(bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))); err != nil {
			return err
		}
	}
	return nil
}

// checkLine checks the start of a line without its end.
func (c *Checker) checkLine(line []byte) error {
	switch {
	case c.status == 0:
		return c.checkStatusLine(line)
	case len(line) == 0:
		c.done = true
		return nil
	}
	return c.checkField(line)
}

// checkStatusLine checks the start of the first line.
func (c *Checker) checkStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	if !isHTTP1(version) {
		return newError(RuleVersion, line)
	}
	c.isHTTP10 = string(version) == "HTTP/1.0"
	if c.status = parseStatus(rest); c.status == 0 {
		return newError(RuleStatus, line)
	}
	return nil
}

// checkField checks the start of a line that must be a field.
func (c *Checker) checkField(line []byte) error {
	name, _, found := bytes.Cut(line, []byte(":"))
	if !found || !httpguts.ValidHeaderFieldName(string(name)) {
		return newError(RuleFieldName, line)
	}
	if c.fields++; c.fields > maxFields {
		return newError(RuleFieldCount, line)
	}
	if c.isHTTP10 && strings.EqualFold(string(name), "Transfer-Encoding") {
		return newError(RuleFraming, line)
	}
	return nil
}

// isHTTP1 reports whether a version is HTTP/1.x.
func isHTTP1(version []byte) bool {
	minor, found := bytes.CutPrefix(version, []byte("HTTP/1."))
	return found && len(minor) == 1 && '0' <= minor[0] && minor[0] <= '9'
}

// parseStatus returns the status at the start of what follows the version, 0 if it is not valid. It finds the status where net/http does.
func parseStatus(rest []byte) int {
	text, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	if len(text) != 3 {
		return 0
	}
	status := 0
	for _, digit := range text {
		if digit < '0' || digit > '9' {
			return 0
		}
		status = 10*status + int(digit-'0')
	}
	if status < 100 || status > 599 || status == http.StatusSwitchingProtocols {
		return 0
	}
	return status
}
