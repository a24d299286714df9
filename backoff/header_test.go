package backoff_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/dunlinquay/dunlinquay/backoff"
	"github.com/dunlinquay/dunlinquay/result"
)

// Both forms that HTTP allows are parsed, dates relative to the answer's Date where there is one; anything else is an error.
func TestParseRetryAfter(t *testing.T) {
	for _, tt := range []struct {
		name    string
		text    []string
		date    string
		want    time.Duration
		wantErr bool
	}{
		{name: "nothing"},
		{name: "seconds", text: []string{"3"}, want: 3 * time.Second},
		{name: "a fraction", text: []string{" 0.25 "}, want: 250 * time.Millisecond},
		{name: "zero", text: []string{"0"}},
		{name: "an hour", text: []string{"3600"}, want: time.Hour},
		{name: "more than a duration holds", text: []string{"99999999999999999999"}, want: 1e9 * time.Second},
		{name: "two", text: []string{"1", "3"}, want: 3 * time.Second},
		{name: "a date", text: []string{"Tue, 01 Jan 2030 00:00:05 GMT"}, want: 5 * time.Second},
		{name: "a date by another clock", text: []string{"Tue, 01 Jan 2019 00:00:05 GMT"}, date: "Tue, 01 Jan 2019 00:00:03 GMT", want: 2 * time.Second},
		{name: "a past date", text: []string{"Mon, 31 Dec 2029 23:59:05 GMT"}},
		{name: "negative", text: []string{"-3"}, wantErr: true},
		{name: "not a number", text: []string{"soon"}, wantErr: true},
		{name: "not finite", text: []string{"Inf"}, wantErr: true},
		{name: "an exponent", text: []string{"1e3"}, wantErr: true},
		{name: "two points", text: []string{"1.2.3"}, wantErr: true},
		{name: "empty", text: []string{""}, wantErr: true},
		{name: "too long", text: []string{"00000000000000000000000000000000000000000000000000003"}, wantErr: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			header := http.Header{}
			if tt.text != nil {
				header["Retry-After"] = tt.text
			}
			if tt.date != "" {
				header.Set("Date", tt.date)
			}
			got, err := backoff.ParseRetryAfter(header, startTime)
			if got != tt.want || (err != nil) != tt.wantErr {
				t.Errorf("%v and %v, want %v, an error: %v", got, err, tt.want, tt.wantErr)
			}
			if err != nil && result.CodeOf(err) != result.BackoffUnreadable {
				t.Errorf("code %d, want %d", result.CodeOf(err), result.BackoffUnreadable)
			}
		})
	}
}

// FuzzParseRetryAfter checks that no text results in a negative backoff.
func FuzzParseRetryAfter(f *testing.F) {
	for _, text := range []string{"3", "0.25", "-1", "1e999", ".", "99999999999999999999", "Tue, 01 Jan 2030 00:00:05 GMT", "Tue, 31 Dec 9999 23:59:59 GMT"} {
		f.Add(text, "")
		f.Add(text, "Tue, 01 Jan 0001 00:00:00 GMT")
	}
	f.Fuzz(func(t *testing.T, text, date string) {
		header := http.Header{"Retry-After": {text}, "Date": {date}}
		got, err := backoff.ParseRetryAfter(header, startTime)
		if got < 0 || err != nil && got != 0 {
			t.Errorf("%v and %v", got, err)
		}
	})
}
