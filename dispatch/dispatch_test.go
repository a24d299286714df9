package dispatch_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/admission"
	"github.com/dunlinquay/dunlinquay/dispatch"
	"github.com/dunlinquay/dunlinquay/engine"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/ledger"
	"github.com/dunlinquay/dunlinquay/presence"
	"github.com/dunlinquay/dunlinquay/quarantine"
	"github.com/dunlinquay/dunlinquay/result"
	"github.com/dunlinquay/dunlinquay/routing"
)

// behavior is how an upstream handles one request.
type behavior struct {
	// refuseCode, if not OK, is returned before anything runs.
	refuseCode result.Code
	// cutAfter is the number of tokens after which the answer is cut; -1 for a complete answer.
	cutAfter int
	// delay is the time until the answer starts.
	delay time.Duration
	// foreign marks the answer as that of another request.
	foreign bool
}

var (
	whole      = behavior{cutAfter: -1}
	refused    = behavior{refuseCode: result.UpstreamNotRun, cutAfter: -1}
	neverSent  = behavior{refuseCode: result.NeverSent, cutAfter: -1}
	wrongEpoch = behavior{refuseCode: result.EpochMismatch, cutAfter: -1}
	cutAt0     = behavior{cutAfter: 0}
	cutAt2     = behavior{cutAfter: 2}
	foreign    = behavior{cutAfter: -1, foreign: true}
	slow       = behavior{cutAfter: -1, delay: time.Hour}
)

const answerTokens = 4

// fixture is a dispatcher with two groups. Each request that their upstreams get uses up the first of behaviors.
type fixture struct {
	*dispatch.Dispatcher
	table   *routing.Table
	records []*presence.VMRecord
	targets []*routing.Target

	mu        sync.Mutex
	behaviors []behavior
	runs      int
	sent      []string
}

func newFixture(behaviors ...behavior) *fixture {
	f := &fixture{Dispatcher: dispatch.NewDispatcher(), table: routing.NewTable("h", time.Second), behaviors: behaviors}
	for i := range 2 {
		t := routing.NewTarget()
		record := &presence.VMRecord{}
		t.Group, t.Epoch, t.Model, t.Hall, t.Head = ident.Group(fmt.Sprint("g", i)), 7, "m", "h", fmt.Sprint("head-", i)
		t.Members = []presence.Member{{Cell: record, Incarnation: "i", Epoch: 7}}
		f.records = append(f.records, record)
		f.targets = append(f.targets, t)
	}
	f.observeMembers()
	f.table.Random = func(int) int { return 0 }
	f.table.Replace(f.targets, []ident.Model{"m"})
	f.Table = f.table
	f.Admission = admission.NewController()
	f.Generate = f.generate
	return f
}

// observeMembers records a new observation of every member.
func (f *fixture) observeMembers() {
	for i, record := range f.records {
		incarnation := f.targets[i].Members[0].Incarnation
		record.Observe(time.Now(), &presence.Observation{Sight: presence.ProbeAnswered, Incarnation: incarnation, Epoch: 7, Slots: 8})
	}
}

func (f *fixture) nextBehavior(address string) behavior {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent = append(f.sent, address)
	d := f.behaviors[0]
	f.behaviors = f.behaviors[1:]
	if d.refuseCode == result.OK {
		f.runs++
	}
	return d
}

func (f *fixture) generate(ctx context.Context, address string, g *engine.GenerateRequest) (*engine.Stream, error) {
	d := f.nextBehavior(address)
	if d.refuseCode != result.OK {
		return nil, result.New(d.refuseCode, "injected failure")
	}
	select {
	case <-time.After(d.delay):
	case <-ctx.Done():
		return nil, result.Wrap(ctx.Err(), result.UpstreamFailed, "connection closed")
	}
	id := g.Request
	if d.foreign {
		id = "stranger"
	}
	var body strings.Builder
	for i := g.From; i < answerTokens; i++ {
		if d.cutAfter >= 0 && i-g.From >= d.cutAfter {
			return engine.NewStream(io.NopCloser(strings.NewReader(body.String())), g.Request, g.Epoch, g.From), nil
		}
		fmt.Fprintf(&body, `{"request":%q,"epoch":%d,"n":%d,"text":"t%d "}`+"\n", id, g.Epoch, i, i)
	}
	fmt.Fprintf(&body, `{"request":%q,"epoch":%d,"n":%d,"done":true,"finish":"stop"}`+"\n", id, g.Epoch, answerTokens)
	return engine.NewStream(io.NopCloser(strings.NewReader(body.String())), g.Request, g.Epoch, g.From), nil
}

func (f *fixture) request() *dispatch.Request {
	return &dispatch.Request{
		ID: ident.NewRequest(), Customer: "c", Class: "interactive", Deadline: time.Now().Add(10 * time.Second), Model: "m",
		Prompt: []byte(`"p"`), MaxTokens: answerTokens, Deterministic: true, Repeatable: true,
	}
}

const answerText = "t0 t1 t2 t3 "

// The result code and the number of runs of a request for each behavior of its upstreams.
func TestOutcomes(t *testing.T) {
	for _, c := range []struct {
		name       string
		behaviors  []behavior
		atMostOnce bool
		code       result.Code
		runs       int
	}{
		{"complete at once", []behavior{whole}, false, result.OK, 1},
		{"refused as not run, then complete", []behavior{refused, whole}, false, result.OK, 1},
		{"never sent, then complete", []behavior{neverSent, whole}, false, result.OK, 1},
		{"wrong epoch, then complete", []behavior{wrongEpoch, whole}, false, result.OK, 1},
		{"refused everywhere: not run", []behavior{refused, refused, refused, refused}, false, result.NoWholeGroup, 0},
		{"cut before the first token, then complete", []behavior{cutAt0, whole}, false, result.OK, 2},
		{"cut in the middle, then complete", []behavior{cutAt2, whole}, false, result.OK, 2},
		{"foreign answer, then complete", []behavior{foreign, whole}, false, result.OK, 2},
		{"cut every time", []behavior{cutAt0, cutAt0, cutAt0, cutAt0}, false, result.UpstreamFailed, 4},
		{"may have run, then refused: not reported as not run", []behavior{cutAt0, refused, refused, refused}, false, result.UpstreamFailed, 1},
		{"no answer before the deadline", []behavior{slow}, false, result.TimedOut, 1},

		{"not repeatable: complete at once", []behavior{whole}, true, result.OK, 1},
		{"not repeatable: retried while certainly not run", []behavior{refused, neverSent, whole}, true, result.OK, 1},
		{"not repeatable: refused everywhere", []behavior{refused, refused, refused, refused}, true, result.NoWholeGroup, 0},
		{"not repeatable: cut", []behavior{cutAt0, whole}, true, result.OutcomeUnknown, 1},
		{"not repeatable: cut in the middle", []behavior{cutAt2, whole}, true, result.OutcomeUnknown, 1},
		{"not repeatable: foreign answer", []behavior{foreign, whole}, true, result.OutcomeUnknown, 1},
		{"not repeatable: no answer before the deadline", []behavior{slow, whole}, true, result.OutcomeUnknown, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(c.behaviors...)
				f.Ledger = newLedgerClient(ledger.NewMachine(), "a", "1")
				r := f.request()
				r.Repeatable, r.Key = !c.atMostOnce, "k"
				stop := f.observeUntilStopped()
				answer, err := f.Serve(t.Context(), r, nil)
				stop()
				if code := result.CodeOf(err); code != c.code || f.runs != c.runs {
					t.Errorf("code %d after %d runs, want %d after %d: %v", code, f.runs, c.code, c.runs, err)
				}
				if dispatch.NotRun(err) && f.runs > 0 {
					t.Errorf("reported as not run after %d runs", f.runs)
				}
				if err == nil && answer.Text != answerText {
					t.Errorf("answer %q is not the complete one", answer.Text)
				}
			})
		})
	}
}

// observeUntilStopped records new observations periodically until stop is called.
func (f *fixture) observeUntilStopped() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			f.observeMembers()
			time.Sleep(100 * time.Millisecond)
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

// newLedgerClient returns a daemon's access to a shared ledger.
func newLedgerClient(m *ledger.Machine, name ident.Daemon, incarnation ident.Incarnation) *ledger.Client {
	return &ledger.Client{
		Daemon: name, Incarnation: incarnation, Retention: time.Hour, MaxAnswerBytes: 1 << 10, Now: time.Now,
		Propose: func(_ context.Context, _ ledger.Key, data []byte) (ledger.Answer, error) { return m.Apply(data), nil },
	}
}

// A stream whose upstream fails is continued without a gap or repeated tokens, or ends with an error.
func TestStreams(t *testing.T) {
	for _, c := range []struct {
		name          string
		behaviors     []behavior
		deterministic bool
		code          result.Code
		want          string
	}{
		{"complete", []behavior{whole}, false, result.OK, answerText},
		{"continued by another group", []behavior{cutAt2, whole}, true, result.OK, answerText},
		{"continued twice", []behavior{cutAt2, {cutAfter: 1}, whole}, true, result.OK, answerText},
		{"cut before the first token", []behavior{cutAt0, whole}, false, result.OK, answerText},
		{"not continued if not deterministic", []behavior{cutAt2, whole}, false, result.UpstreamFailed, "t0 t1 "},
		{"not continued with a foreign answer", []behavior{cutAt2, foreign, foreign, foreign}, true, result.UpstreamFailed, "t0 t1 "},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(c.behaviors...)
				r := f.request()
				r.Streamed, r.Deterministic = true, c.deterministic
				var received strings.Builder
				_, err := f.Serve(t.Context(), r, func(text string, _ bool) error {
					received.WriteString(text)
					return nil
				})
				if code := result.CodeOf(err); code != c.code {
					t.Errorf("code %d, want %d: %v", code, c.code, err)
				}
				if diff := cmp.Diff(c.want, received.String()); diff != "" {
					t.Errorf("the caller received (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// If the answer cannot be sent to the caller, the request is cancelled at the engine.
func TestFailedSinkCancelsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(whole)
		cancelled := make(chan ident.Request, 1)
		f.Cancel = func(_ context.Context, _ string, id ident.Request) error {
			cancelled <- id
			return nil
		}
		r := f.request()
		_, err := f.Serve(t.Context(), r, func(string, bool) error { return errors.New("broken pipe") })
		if code := result.CodeOf(err); code != result.Cancelled {
			t.Errorf("code %d, want that of a cancelled request: %v", code, err)
		}
		if id := <-cancelled; id != r.ID {
			t.Errorf("request %s was cancelled at the engine, want %s", id, r.ID)
		}
		if n := f.targets[0].InFlight() + f.targets[1].InFlight(); n != 0 {
			t.Errorf("%d requests are still counted in flight", n)
		}
	})
}

// If a group loses a member and its head keeps the connection open without answering, the request is retried at another group.
func TestAttemptEndsWhenGroupLosesMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(slow, whole)
		start := time.Now()
		done := make(chan error)
		go func() {
			_, err := f.Serve(t.Context(), f.request(), nil)
			done <- err
		}()
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			f.records[1].Observe(time.Now(), &presence.Observation{Sight: presence.ProbeAnswered, Incarnation: "i", Epoch: 7, Slots: 8})
			f.CheckAttempts(time.Now())
		}
		if err := <-done; err != nil {
			t.Errorf("the request failed: %v", err)
		}
		if diff := cmp.Diff([]string{"head-0", "head-1"}, f.sent); diff != "" {
			t.Errorf("sent to (-want +got):\n%s", diff)
		}
		if duration := time.Since(start); duration > 5*time.Second {
			t.Errorf("the request took %s, want at most 5s", duration)
		}
	})
}

// If all attempts fail, the retry budget allows only a few retries.
func TestRetriesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		f.RetryBudget = dispatch.NewRetryBudget(0)
		for range 100 {
			f.behaviors = append(f.behaviors, cutAt0)
		}
		const requests = 30
		for range requests {
			f.observeMembers()
			if _, err := f.Serve(t.Context(), f.request(), nil); err == nil {
				t.Fatal("a cut answer was returned as complete")
			}
		}
		if retries := len(f.sent) - requests; retries > 10 {
			t.Errorf("%d retries for %d requests that all failed", retries, requests)
		}
	})
}

// A not-repeatable request runs at most once, for each combination of the point at which its daemon stops, the daemon that gets it
// again, and the behavior of the first upstream.
func TestAtMostOnce(t *testing.T) {
	type stop int
	const (
		beforeClaim stop = iota
		afterClaim
		afterRun
		afterOutcome
	)
	stopPoints := map[stop]string{beforeClaim: "before the claim", afterClaim: "after the claim", afterRun: "after the run", afterOutcome: "after the outcome"}
	retriers := map[string]func(m *ledger.Machine) *ledger.Client{
		"the same daemon":            func(m *ledger.Machine) *ledger.Client { return newLedgerClient(m, "a", "1") },
		"the same daemon, restarted": func(m *ledger.Machine) *ledger.Client { return newLedgerClient(m, "a", "2") },
		"another daemon":             func(m *ledger.Machine) *ledger.Client { return newLedgerClient(m, "b", "1") },
	}
	firstBehaviors := map[string]behavior{"answered": whole, "answer lost": cutAt0, "answer late": {cutAfter: -1, delay: 3 * time.Second}, "foreign answer": foreign}
	for stopPoint, stopName := range stopPoints {
		for retrierName, newClient := range retriers {
			for upstreamName, firstBehavior := range firstBehaviors {
				t.Run(fmt.Sprintf("stopped %s, %s, sent again by %s", stopName, upstreamName, retrierName), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						m := ledger.NewMachine()
						f := newFixture(firstBehavior, whole, whole, whole, whole, whole)
						stop := f.observeUntilStopped()
						defer stop()
						// The daemon stops: it reaches neither the ledger nor its caller any more.
						ctx, crash := context.WithCancel(t.Context())
						proposals := 0
						firstClient := newLedgerClient(m, "a", "1")
						apply := firstClient.Propose
						firstClient.Propose = func(ctx context.Context, key ledger.Key, data []byte) (ledger.Answer, error) {
							proposals++
							if stopPoint == beforeClaim || proposals == 2 && stopPoint != afterOutcome || proposals > 2 {
								crash()
								return ledger.Answer{}, result.New(result.StorageDamaged, "the daemon has stopped")
							}
							answer, err := apply(ctx, key, data)
							if stopPoint == afterClaim {
								crash()
							}
							return answer, err
						}
						f.Ledger = firstClient
						r := f.request()
						r.Repeatable, r.Key = false, "k"
						_, _ = f.Serve(ctx, r, nil)
						crash()
						for range 3 {
							f.Ledger = newClient(m)
							retry := f.request()
							retry.Repeatable, retry.Key = false, "k"
							answer, err := f.Serve(t.Context(), retry, nil)
							if err == nil && answer.Text != answerText {
								t.Errorf("answer %q is not the complete one", answer.Text)
							}
							if dispatch.NotRun(err) && f.runs > 0 {
								t.Errorf("reported as not run after %d runs: %v", f.runs, err)
							}
							time.Sleep(20 * time.Second)
						}
						if f.runs > 1 {
							t.Errorf("the request ran %d times", f.runs)
						}
					})
				})
			}
		}
	}
}

// A caller repeats a request that crashes each upstream which runs it, each time at another of three daemons. The daemons exchange
// their evidence, so after three crashes the request is refused at once, with a retry time. Other requests are not quarantined.
func TestRequestThatCrashesUpstreamsIsQuarantined(t *testing.T) {
	for _, atMostOnce := range []bool{false, true} {
		t.Run(fmt.Sprintf("once %v", atMostOnce), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var daemons []*fixture
				runs := 0
				for _, name := range []string{"a", "b", "c"} {
					daemons = append(daemons, newCrashingFixture(name))
				}
				for n := range 12 {
					f := daemons[n%3]
					time.Sleep(time.Second)
					f.observeMembers()
					r := f.request()
					r.Content, r.Repeatable, r.Key = 7, !atMostOnce, fmt.Sprint("key-", n)
					_, err := f.Serve(t.Context(), r, nil)
					if code := result.CodeOf(err); n >= 3 && code != result.WorkHeld {
						t.Errorf("request %d got code %d, want %d", n, code, result.WorkHeld)
					}
					if n >= 3 && admission.RetryAfter(err) < 30*time.Second {
						t.Errorf("request %d may be retried after %v, want at least 30s", n, admission.RetryAfter(err))
					}
					if remaining := f.Quarantine.Remaining(time.Now(), quarantine.Fingerprint{Customer: "c", Content: 8}); remaining > 0 {
						t.Errorf("a request with other content is quarantined for %v", remaining)
					}
					exchangeReports(daemons)
				}
				for _, f := range daemons {
					runs += f.runs
				}
				if runs > 4 {
					t.Errorf("the request ran %d times, want at most 4", runs)
				}
			})
		})
	}
}

// Requests that share one message of their chats crash each upstream that begins to answer them, at three daemons. Requests with that message
// are soon refused as not run; one that shares the other messages is served.
func TestMessageThatCrashesUpstreamsIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var daemons []*fixture
		for _, name := range []string{"a", "b", "c"} {
			daemons = append(daemons, newCrashingFixture(name))
		}
		runs := func() int { return daemons[0].runs + daemons[1].runs + daemons[2].runs }
		var fifthAt time.Time
		late := 0
		for n := range 40 {
			f := daemons[n%3]
			time.Sleep(time.Second)
			f.observeMembers()
			r := f.request()
			r.Content, r.Repeatable = ident.ContentHash(n), true
			r.PromptParts = []ident.PromptPart{"system", "bad", ident.PromptPart(fmt.Sprint("own-", n))}
			before := runs()
			_, err := f.Serve(t.Context(), r, nil)
			if code := result.CodeOf(err); runs() == before && (code != result.PartQuarantined || !dispatch.NotRun(err) || admission.RetryAfter(err) == 0) {
				t.Errorf("request %d was not sent, and got code %d, retry after %v", n, code, admission.RetryAfter(err))
			}
			if !fifthAt.IsZero() && time.Since(fifthAt) > 3*time.Second {
				late += runs() - before
			}
			if fifthAt.IsZero() && runs() >= 5 {
				fifthAt = time.Now()
			}
			exchangeReports(daemons)
		}
		if late > 3 {
			t.Errorf("requests with the message ran %d times later than 3 s after the fifth crash, want at most 3", late)
		}
		f := daemons[0]
		f.behaviors = []behavior{whole}
		f.observeMembers()
		r := f.request()
		r.Content, r.PromptParts = 100, []ident.PromptPart{"system", "good", "own"}
		if _, err := f.Serve(t.Context(), r, nil); err != nil {
			t.Errorf("a request without the message: %v", err)
		}
	})
}

// newCrashingFixture returns a dispatcher whose upstreams all crash on the requests that they run.
func newCrashingFixture(name string) *fixture {
	f := newFixture()
	for range 100 {
		f.behaviors = append(f.behaviors, cutAt0)
	}
	f.Ledger = newLedgerClient(ledger.NewMachine(), "a", "1")
	f.restartUpstreams(name)
	restarts := 0
	f.ConnectionRefused = func(context.Context, string) bool {
		restarts++
		f.restartUpstreams(fmt.Sprint(name, restarts))
		return true
	}
	return f
}

// restartUpstreams replaces each upstream by a new incarnation.
func (f *fixture) restartUpstreams(prefix string) {
	time.Sleep(time.Millisecond)
	for i, target := range f.targets {
		incarnation := ident.Incarnation(fmt.Sprint(prefix, "-", i))
		target.Members[0].Incarnation = incarnation
	}
	f.observeMembers()
}

// exchangeReports sends the quarantine reports of each daemon to all daemons.
func exchangeReports(daemons []*fixture) {
	for _, from := range daemons {
		for _, r := range from.Quarantine.ToSend(time.Now(), 16) {
			for _, to := range daemons {
				to.Quarantine.Merge(time.Now(), &r)
			}
		}
	}
}

// A connection that breaks while its upstream keeps running does not quarantine the request.
func TestCutConnectionsDoNotQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCrashingFixture("a")
		f.ConnectionRefused = func(context.Context, string) bool { return false }
		for range 5 {
			f.observeMembers()
			r := f.request()
			r.Content = 7
			if _, err := f.Serve(t.Context(), r, nil); result.CodeOf(err) != result.UpstreamFailed {
				t.Errorf("got %v, want code %d", err, result.UpstreamFailed)
			}
		}
	})
}
