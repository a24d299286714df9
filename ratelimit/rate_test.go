package ratelimit_test

import (
	"math"
	"net/http"
	"testing"

	"github.com/dunlinquay/dunlinquay/ratelimit"
	"github.com/dunlinquay/dunlinquay/result"
)

// A decimal number is a rate; anything else is an error, never the absence of a limit.
func TestParseHeader(t *testing.T) {
	for _, test := range []struct {
		name string
		text []string
		want ratelimit.Rate
		none bool
		bad  bool
	}{
		{name: "none", none: true},
		{name: "integer", text: []string{"50"}, want: 50},
		{name: "a fraction", text: []string{" 3.6 "}, want: 3.6},
		{name: "below one", text: []string{"0.5"}, want: 0.5},
		{name: "zero", text: []string{"0"}, want: 0},
		{name: "close to zero", text: []string{"0.000001"}, want: 0.000001},
		{name: "huge", text: []string{"999999999999999999999999"}, want: 999999999999999999999999},
		{name: "two", text: []string{"3.6", "1.8"}, want: 1.8},
		{name: "two, the lower first", text: []string{"1.8", "3.6"}, want: 1.8},
		{name: "one of two not a number", text: []string{"1.8", "few"}, bad: true},
		{name: "negative", text: []string{"-3"}, bad: true},
		{name: "no number", text: []string{"NaN"}, bad: true},
		{name: "not finite", text: []string{"Inf"}, bad: true},
		{name: "exponent", text: []string{"1e3"}, bad: true},
		{name: "empty", text: []string{""}, bad: true},
		{name: "only a decimal point", text: []string{"."}, bad: true},
		{name: "two decimal points", text: []string{"1.2.3"}, bad: true},
		{name: "a list", text: []string{"1, 2"}, bad: true},
		{name: "too long", text: []string{"00000000000000000000000000000000000000000000000000003"}, bad: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := http.Header{}
			if test.text != nil {
				h["Limit"] = test.text
			}
			got, found, err := ratelimit.ParseHeader(h, "limit")
			if got != test.want || found != (!test.none && !test.bad) || (err != nil) != test.bad {
				t.Errorf("rate %v, found %t, error %v; want rate %v, error %t", got, found, err, test.want, test.bad)
			}
			if err != nil && result.CodeOf(err) != result.LimitUnreadable {
				t.Errorf("code %d, want %d", result.CodeOf(err), result.LimitUnreadable)
			}
		})
	}
}

// FuzzParseHeader checks that any header value gives a finite rate of at least 0, or an error.
func FuzzParseHeader(f *testing.F) {
	for _, text := range []string{"3", "0.25", "-1", "1e999", ".", "0", "99999999999999999999", "0x1p4", "1_0", "+3"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		got, found, err := ratelimit.ParseHeader(http.Header{"Limit": {text}}, "Limit")
		if !(got >= 0 && got <= math.MaxFloat64) || found != (err == nil) {
			t.Errorf("rate %v, found %t, error %v", got, found, err)
		}
	})
}
