package httphead_test

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/net/http/httpguts"

	"github.com/dunlinquay/dunlinquay/httphead"
)

// heads are heads with the rule that each breaks, "" for a valid one.
var heads = []struct {
	text string
	rule httphead.Rule
}{
	{"HTTP/1.1 200 OK\r\n\r\n", ""},
	{"HTTP/1.1 200\r\n\r\n", ""},
	{"HTTP/1.1 200 OK\nContent-Length: 0\n\n", ""},
	{"HTTP/1.0  599 X\r\nA: b\r\nContent-Length: 2\r\n\r\n", ""},
	{"HTTP/1.1 103 X\r\nLink: l\r\n\r\n", ""},
	{"HTTP/1.1 000 X\r\n\r\n", httphead.RuleStatus},
	{"HTTP/1.1 099 X\r\n\r\n", httphead.RuleStatus},
	{"HTTP/1.1 101 X\r\n\r\n", httphead.RuleStatus},
	{"HTTP/1.1 600 X\r\n\r\n", httphead.RuleStatus},
	{"HTTP/1.1 +20 X\r\n\r\n", httphead.RuleStatus},
	{"HTTP/1.1 -00 X\r\n\r\n", httphead.RuleStatus},
	{"HTTP/1.1 2000 X\r\n\r\n", httphead.RuleStatus},
	{"HTTP/1.1 20\r\n\r\n", httphead.RuleStatus},
	{"HTTP/1.1\r\n\r\n", httphead.RuleStatus},
	{"\r\n\r\n", httphead.RuleVersion},
	{"HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09aZ:\r\n\r\n", ""},
	{"HTTP/1.2 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", ""},
	{"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", httphead.RuleFraming},
	{"HTTP/1.0 200 OK\r\nA: b\r\ntransfer-encoding:\r\n\r\n", httphead.RuleFraming},
	{"HTTP/2.0 200 OK\r\n\r\n", httphead.RuleVersion},
	{"HTTP/0.9 200 OK\r\n\r\n", httphead.RuleVersion},
	{"HTTP/1.10 200 OK\r\n\r\n", httphead.RuleVersion},
	{"HTTP/1 200 OK\r\n\r\n", httphead.RuleVersion},
	{"http/1.1 200 OK\r\n\r\n", httphead.RuleVersion},
	{" HTTP/1.1 200 OK\r\n\r\n", httphead.RuleVersion},
	{"HTTP/1.1 200 OK\r\nA : b\r\n\r\n", httphead.RuleFieldName},
	{"HTTP/1.1 200 OK\r\nA\t: b\r\n\r\n", httphead.RuleFieldName},
	{"HTTP/1.1 200 OK\r\nA B: b\r\n\r\n", httphead.RuleFieldName},
	{"HTTP/1.1 200 OK\r\nA\x00B: b\r\n\r\n", httphead.RuleFieldName},
	{"HTTP/1.1 200 OK\r\nA\x7f: b\r\n\r\n", httphead.RuleFieldName},
	{"HTTP/1.1 200 OK\r\nA\xc3\xa4: b\r\n\r\n", httphead.RuleFieldName},
	{"HTTP/1.1 200 OK\r\nA(): b\r\n\r\n", httphead.RuleFieldName},
	{"HTTP/1.1 200 OK\r\n: b\r\n\r\n", httphead.RuleFieldName},
	{"HTTP/1.1 200 OK\r\nA\r\n\r\n", httphead.RuleFieldName},
	{"HTTP/1.1 200 OK\r\n A: b\r\n\r\n", httphead.RuleFieldName},
	{"HTTP/1.1 200 OK\r\nA: b\r\n c: d\r\n\r\n", httphead.RuleFieldName},
	{"HTTP/1.1 200 OK\r\nA: b\r\n\t\r\n\r\n", httphead.RuleFieldName},
	{"HTTP/1.1 200 OK\r\nA: b\r\n\r\r\n\r\n", httphead.RuleFieldName},
	{"HTTP/1.1 200 OK\r\n" + strings.Repeat("a:\n", 256) + "\n", ""},
	{"HTTP/1.1 200 OK\r\n" + strings.Repeat("a:\n", 257) + "\n", httphead.RuleFieldCount},
	{"HTTP/1.1 200 OK\r\n" + strings.Repeat("n", 1000) + ": v\r\n\r\n", ""},
	{"HTTP/1.1 200 OK\r\n" + strings.Repeat("n", 1024) + ": v\r\n\r\n", httphead.RuleFieldName},
	{"HTTP/1.1 200 OK\r\nLong: " + strings.Repeat("v", httphead.MaxBytes) + "\r\n\r\n", httphead.RuleSize},
	{"HTTP/1.1 " + strings.Repeat(" ", httphead.MaxBytes) + "200 OK\r\n\r\n", httphead.RuleSize},
	{"HTTP/1.1 " + strings.Repeat(" ", 2000) + "200 OK\r\n\r\n", httphead.RuleStatus},
}

func ruleOf(err error) httphead.Rule {
	var headErr *httphead.Error
	if errors.As(err, &headErr) {
		return headErr.Rule
	}
	return ""
}

// Each head breaks its rule however its bytes arrive, and the bytes behind a valid head are not checked.
func TestChecker(t *testing.T) {
	for _, tt := range heads {
		text := []byte(tt.text + "body")
		for _, size := range []int{1, 7, len(text)} {
			var c httphead.Checker
			var n int
			var err error
			for rest := text; len(rest) > 0 && err == nil && !c.Done(); {
				part := rest[:min(size, len(rest))]
				rest = rest[len(part):]
				var checked int
				checked, err = c.Check(part)
				n += checked
			}
			if rule := ruleOf(err); rule != tt.rule || c.Done() != (rule == "") || c.Done() && n != len(tt.text) {
				t.Errorf("%.60q in parts of %d bytes: rule %q, done %v after %d bytes: %v", tt.text, size, rule, c.Done(), n, err)
			}
		}
	}
}

// The start of the rejected line is quoted.
func TestErrorQuotesLine(t *testing.T) {
	var c httphead.Checker
	_, err := c.Check([]byte("HTTP/1.1 0\xff0 \x1b" + strings.Repeat("x", 100) + "\r\n"))
	want := &httphead.Error{Rule: httphead.RuleStatus, Line: `"HTTP/1.1 0\xff0 \x1b` + strings.Repeat("x", 50) + `"`}
	if diff := cmp.Diff(error(want), err); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

// Responses arrive in full one after the other on one connection, however long their heads are.
func TestReaderReadsResponsesInTurn(t *testing.T) {
	lengths := []int{1, 4000, 5000, httphead.MaxBytes - 100, 10}
	var text strings.Builder
	for i, n := range lengths {
		fmt.Fprintf(&text, "HTTP/1.1 200 X\r\nLong: %s\r\nContent-Length: 6\r\n\r\nbody %d", strings.Repeat("v", n), i)
	}
	for name, conn := range map[string]io.Reader{
		"at once": strings.NewReader(text.String()), "byte by byte": iotest.OneByteReader(strings.NewReader(text.String())),
	} {
		rd := httphead.NewReader(conn)
		for i, n := range lengths {
			resp, err := rd.ReadResponse(nil)
			if err != nil {
				t.Fatalf("%s, response %d: %v", name, i, err)
			}
			body, err := io.ReadAll(resp.Body)
			resp.Body.Close()
			if err != nil || string(body) != fmt.Sprintf("body %d", i) || len(resp.Header.Get("Long")) != n {
				t.Errorf("%s, response %d: body %q, %d bytes in its field, %v", name, i, body, len(resp.Header.Get("Long")), err)
			}
			rd.Shrink()
		}
		if _, err := rd.ReadResponse(nil); !errors.Is(err, io.ErrUnexpectedEOF) { //nolint:bodyclose // there is no response.
			t.Errorf("%s, at the end of the connection: %v", name, err)
		}
		if rd.Shrink(); rd.Size() > 4<<10 {
			t.Errorf("%s: buffer of %d bytes after Shrink", name, rd.Size())
		}
	}
}

// The memory for a valid head is a small multiple of the bound of a head.
func TestMemoryOfValidHeads(t *testing.T) {
	for _, fields := range []string{
		strings.Repeat("a:\n", 255), strings.Repeat("A: "+strings.Repeat("v", 250)+"\r\n", 250), "Long: " + strings.Repeat("v", httphead.MaxBytes-100) + "\n",
	} {
		const responses = 8
		text := "HTTP/1.1 200 X\r\nContent-Length: 0\r\n" + fields + "\r\n"
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for range responses {
			resp, err := httphead.NewReader(strings.NewReader(text)).ReadResponse(nil)
			if err != nil {
				t.Fatal(err)
			}
			resp.Body.Close()
		}
		runtime.ReadMemStats(&after)
		if allocated := (after.TotalAlloc - before.TotalAlloc) / responses; allocated > 8*httphead.MaxBytes {
			t.Errorf("%.20q: %d bytes", fields, allocated)
		}
	}
}

// A head that is accepted means the same to net/http.
func FuzzChecker(f *testing.F) {
	for _, tt := range heads {
		if len(tt.text) < 1000 {
			f.Add([]byte(tt.text))
		}
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var c httphead.Checker
		n, err := c.Check(text)
		if err != nil || !c.Done() {
			return
		}
		br := bufio.NewReader(bytes.NewReader(text))
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			return
		}
		defer resp.Body.Close()
		if resp.StatusCode < 100 || resp.StatusCode > 599 || c.Interim() != (resp.StatusCode < 200) {
			t.Errorf("status %d, interim %v", resp.StatusCode, c.Interim())
		}
		for name := range resp.Header {
			if !httpguts.ValidHeaderFieldName(name) {
				t.Errorf("field name %q", name)
			}
		}
		if rest := len(text) - n; br.Buffered() != rest {
			t.Errorf("net/http ends the head %d bytes before the end, not %d", br.Buffered(), rest)
		}
	})
}
