package site_test

import (
	"bytes"
	"encoding/gob"
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/answerlen"
	"github.com/dunlinquay/dunlinquay/clock"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/site"
	"github.com/dunlinquay/dunlinquay/siteload"
)

// Guards against entries that never get the lengths of all entries' answers, and against replies that all carry them: a leader with 74
// entries on a small link sends several hundred replies per second.
func TestAnswerLengthsAreInSomeReplies(t *testing.T) {
	leader := site.NewLeadership()
	answers := &answerlen.Estimator{}
	const classes = 16
	for i := range classes {
		for n := range 2000 {
			answers.Add(time.Now(), answerlen.Key{Class: ident.Class("class-" + strconv.Itoa(i)), Model: "model"}, ident.Tokens(10+n), 200)
		}
	}
	leader.ApplyCall(&site.SyncCall{From: "a", Entry: true, Load: &siteload.Report{Answers: answers.TakeReport()}})
	leader.ApplyCall(&site.SyncCall{From: "b", Entry: true})
	now := clock.Now()
	var got []int
	for _, after := range []time.Duration{0, 300 * time.Millisecond, 1900 * time.Millisecond, 2100 * time.Millisecond, 2200 * time.Millisecond} {
		leader.ApplyCall(&site.SyncCall{From: "b", Entry: true})
		got = append(got, len(leader.SiteLoad(now.Add(after), "b").Answers))
	}
	got = append(got, len(leader.SiteLoad(now.Add(2200*time.Millisecond), "unknown").Answers), len(leader.SiteLoad(now.Add(2200*time.Millisecond), "a").Answers))
	if diff := cmp.Diff([]int{classes, 0, 0, classes, 0, 0, classes}, got); diff != "" {
		t.Errorf("classes in the replies to b, to an unknown entry and to a (-want +got):\n%s", diff)
	}
	var encoded bytes.Buffer
	if err := gob.NewEncoder(&encoded).Encode(leader.SiteLoad(now.Add(5*time.Second), "b")); err != nil {
		t.Fatal(err)
	}
	// 4 kB every two seconds to 74 entries are 1.2 Mbit/s, a small part of a link of 20 Mbit/s.
	if encoded.Len() > 4000 {
		t.Errorf("a summary of %d classes has %d bytes, want at most 4000", classes, encoded.Len())
	}
	t.Logf("%d bytes", encoded.Len())
}
