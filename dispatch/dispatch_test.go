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

// deed is what an upstream does with one request.
type deed struct {
	// refuse is returned before anything runs.
	refuse result.Code
	// cut ends the answer after so many tokens; -1 is the whole answer.
	cut int
	// after is how long the answer takes to begin.
	after time.Duration
	// foreign answers for another request.
	foreign bool
}

var (
	whole   = deed{cut: -1}
	refused = deed{refuse: result.UpstreamNotRun, cut: -1}
	unsent  = deed{refuse: result.NeverSent, cut: -1}
	epoch   = deed{refuse: result.EpochMismatch, cut: -1}
	cutAt0  = deed{cut: 0}
	cutAt2  = deed{cut: 2}
	foreign = deed{cut: -1, foreign: true}
	slow    = deed{cut: -1, after: time.Hour}
)

const answerTokens = 4

// bench is a dispatcher before two groups whose upstreams do the deeds of a list, one after the other.
type bench struct {
	*dispatch.Dispatcher
	table   *routing.Table
	cells   []*presence.VMRecord
	targets []*routing.Target

	mu    sync.Mutex
	deeds []deed
	runs  int
	sent  []string
}

func newBench(deeds ...deed) *bench {
	b := &bench{Dispatcher: dispatch.NewDispatcher(), table: routing.NewTable("h", time.Second), deeds: deeds}
	for i := range 2 {
		t := routing.NewTarget()
		cell := &presence.VMRecord{}
		t.Group, t.Epoch, t.Model, t.Hall, t.Head = ident.Group(fmt.Sprint("g", i)), 7, "m", "h", fmt.Sprint("head-", i)
		t.Members = []presence.Member{{Cell: cell, Incarnation: "i", Epoch: 7}}
		b.cells = append(b.cells, cell)
		b.targets = append(b.targets, t)
	}
	b.see()
	b.table.Random = func(int) int { return 0 }
	b.table.Replace(b.targets, []ident.Model{"m"})
	b.Table = b.table
	b.Gate = admission.NewController()
	b.Generate = b.generate
	return b
}

// see renews the observations of every member.
func (b *bench) see() {
	for i, cell := range b.cells {
		life := b.targets[i].Members[0].Incarnation
		cell.Observe(time.Now(), &presence.Observation{Sight: presence.ProbeAnswered, Incarnation: life, Epoch: 7, Slots: 8})
	}
}

func (b *bench) next(address string) deed {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sent = append(b.sent, address)
	d := b.deeds[0]
	b.deeds = b.deeds[1:]
	if d.refuse == result.OK {
		b.runs++
	}
	return d
}

func (b *bench) generate(ctx context.Context, address string, g *engine.Generate) (*engine.Stream, error) {
	d := b.next(address)
	if d.refuse != result.OK {
		return nil, result.New(d.refuse, "told to")
	}
	select {
	case <-time.After(d.after):
	case <-ctx.Done():
		return nil, result.Wrap(ctx.Err(), result.UpstreamFailed, "connection closed")
	}
	id := g.Request
	if d.foreign {
		id = "stranger"
	}
	var body strings.Builder
	for i := g.From; i < answerTokens; i++ {
		if d.cut >= 0 && i-g.From >= d.cut {
			return engine.NewStream(io.NopCloser(strings.NewReader(body.String())), g.Request, g.Epoch, g.From), nil
		}
		fmt.Fprintf(&body, `{"request":%q,"epoch":%d,"n":%d,"text":"t%d "}`+"\n", id, g.Epoch, i, i)
	}
	fmt.Fprintf(&body, `{"request":%q,"epoch":%d,"n":%d,"done":true,"finish":"stop"}`+"\n", id, g.Epoch, answerTokens)
	return engine.NewStream(io.NopCloser(strings.NewReader(body.String())), g.Request, g.Epoch, g.From), nil
}

func (b *bench) request() *dispatch.Request {
	return &dispatch.Request{
		ID: ident.NewRequest(), Customer: "c", Class: "interactive", Deadline: time.Now().Add(10 * time.Second), Model: "m",
		Prompt: []byte(`"p"`), MaxTokens: answerTokens, Deterministic: true, Repeatable: true,
	}
}

const answerText = "t0 t1 t2 t3 "

// What becomes of a request for each thing that an upstream may do.
func TestOutcomes(t *testing.T) {
	for _, c := range []struct {
		name  string
		deeds []deed
		once  bool
		code  result.Code
		runs  int
	}{
		{"whole at once", []deed{whole}, false, result.OK, 1},
		{"refused as not run, then whole", []deed{refused, whole}, false, result.OK, 1},
		{"never sent, then whole", []deed{unsent, whole}, false, result.OK, 1},
		{"another epoch, then whole", []deed{epoch, whole}, false, result.OK, 1},
		{"refused everywhere: not run", []deed{refused, refused, refused, refused}, false, result.NoWholeGroup, 0},
		{"cut before the first token, then whole", []deed{cutAt0, whole}, false, result.OK, 2},
		{"cut in the middle, then whole", []deed{cutAt2, whole}, false, result.OK, 2},
		{"a stranger's answer, then the own one", []deed{foreign, whole}, false, result.OK, 2},
		{"cut every time", []deed{cutAt0, cutAt0, cutAt0, cutAt0}, false, result.UpstreamFailed, 4},
		{"may have run, then refused: not called not run", []deed{cutAt0, refused, refused, refused}, false, result.UpstreamFailed, 1},
		{"no answer before the deadline", []deed{slow}, false, result.TimedOut, 1},

		{"not repeatable: whole at once", []deed{whole}, true, result.OK, 1},
		{"not repeatable: certain refusals are tried elsewhere", []deed{refused, unsent, whole}, true, result.OK, 1},
		{"not repeatable: refused everywhere", []deed{refused, refused, refused, refused}, true, result.NoWholeGroup, 0},
		{"not repeatable: cut", []deed{cutAt0, whole}, true, result.OutcomeUnknown, 1},
		{"not repeatable: cut in the middle", []deed{cutAt2, whole}, true, result.OutcomeUnknown, 1},
		{"not repeatable: a stranger's answer", []deed{foreign, whole}, true, result.OutcomeUnknown, 1},
		{"not repeatable: no answer before the deadline", []deed{slow, whole}, true, result.OutcomeUnknown, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(c.deeds...)
				b.Book = bookOn(ledger.NewMachine(), "a", "1")
				r := b.request()
				r.Repeatable, r.Key = !c.once, "k"
				stop := b.keepSeeing()
				answer, err := b.Serve(t.Context(), r, nil)
				stop()
				if code := result.CodeOf(err); code != c.code || b.runs != c.runs {
					t.Errorf("code %d after %d runs, want %d after %d: %v", code, b.runs, c.code, c.runs, err)
				}
				if dispatch.NotRun(err) && b.runs > 0 {
					t.Errorf("called not run after %d runs", b.runs)
				}
				if err == nil && answer.Text != answerText {
					t.Errorf("answer %q", answer.Text)
				}
			})
		})
	}
}

// keepSeeing renews the observations, as watchers do, until stop.
func (b *bench) keepSeeing() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			b.see()
			time.Sleep(100 * time.Millisecond)
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

// bookOn returns the book of a daemon on a shared ledger.
func bookOn(m *ledger.Machine, name ident.Daemon, incarnation ident.Incarnation) *ledger.Book {
	return &ledger.Book{
		Daemon: name, Incarnation: incarnation, Retention: time.Hour, KeptBytes: 1 << 10, Now: time.Now,
		Propose: func(_ context.Context, _ ledger.Key, data []byte) (ledger.Answer, error) { return m.Apply(data), nil },
	}
}

// Streams are continued without gap or repeat, or end as an error.
func TestStreams(t *testing.T) {
	for _, c := range []struct {
		name          string
		deeds         []deed
		deterministic bool
		code          result.Code
		got           string
	}{
		{"whole", []deed{whole}, false, result.OK, answerText},
		{"continued by another group", []deed{cutAt2, whole}, true, result.OK, answerText},
		{"continued twice", []deed{cutAt2, {cut: 1}, whole}, true, result.OK, answerText},
		{"cut before the caller has seen anything", []deed{cutAt0, whole}, false, result.OK, answerText},
		{"not continued by other tokens", []deed{cutAt2, whole}, false, result.UpstreamFailed, "t0 t1 "},
		{"not continued by a stranger", []deed{cutAt2, foreign, foreign, foreign}, true, result.UpstreamFailed, "t0 t1 "},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(c.deeds...)
				r := b.request()
				r.Streamed, r.Deterministic = true, c.deterministic
				var got strings.Builder
				_, err := b.Serve(t.Context(), r, func(text string, _ bool) error {
					got.WriteString(text)
					return nil
				})
				if code := result.CodeOf(err); code != c.code {
					t.Errorf("code %d, want %d: %v", code, c.code, err)
				}
				if diff := cmp.Diff(c.got, got.String()); diff != "" {
					t.Errorf("the caller received (-want +got):\n%s", diff)
				}
			})
		})
	}
}

func TestACallerThatDoesNotReadEndsItsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(whole)
		cancelled := make(chan ident.Request, 1)
		b.Cancel = func(_ context.Context, _ string, id ident.Request) error {
			cancelled <- id
			return nil
		}
		r := b.request()
		_, err := b.Serve(t.Context(), r, func(string, bool) error { return errors.New("broken pipe") })
		if code := result.CodeOf(err); code != result.Cancelled {
			t.Errorf("code %d: %v", code, err)
		}
		if id := <-cancelled; id != r.ID {
			t.Errorf("request %s was cancelled at the engine, want %s", id, r.ID)
		}
		if n := b.targets[0].InFlight() + b.targets[1].InFlight(); n != 0 {
			t.Errorf("%d requests are still counted in flight", n)
		}
	})
}

// A group that loses a member while its engine keeps the connection open does not keep the caller waiting.
func TestATryEndsWhenItsGroupLosesAMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(slow, whole)
		began := time.Now()
		done := make(chan error)
		go func() {
			_, err := b.Serve(t.Context(), b.request(), nil)
			done <- err
		}()
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			b.cells[1].Observe(time.Now(), &presence.Observation{Sight: presence.ProbeAnswered, Incarnation: "i", Epoch: 7, Slots: 8})
			b.Look(time.Now())
		}
		if err := <-done; err != nil {
			t.Errorf("the request failed: %v", err)
		}
		if diff := cmp.Diff([]string{"head-0", "head-1"}, b.sent); diff != "" {
			t.Errorf("sent to (-want +got):\n%s", diff)
		}
		if took := time.Since(began); took > 5*time.Second {
			t.Errorf("it took %s", took)
		}
	})
}

func TestRetriesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		b.Budget = dispatch.NewBudget(0)
		for range 100 {
			b.deeds = append(b.deeds, cutAt0)
		}
		const requests = 30
		for range requests {
			b.see()
			if _, err := b.Serve(t.Context(), b.request(), nil); err == nil {
				t.Fatal("a cut answer was passed on")
			}
		}
		if retries := len(b.sent) - requests; retries > 10 {
			t.Errorf("%d retries for %d requests that all failed", retries, requests)
		}
	})
}

// The matrix of at most once: where the first daemon stops x who sends again x what the upstream did.
func TestAtMostOnceMatrix(t *testing.T) {
	type stop int
	const (
		beforeClaim stop = iota
		afterClaim
		afterRun
		afterOutcome
	)
	stops := map[stop]string{beforeClaim: "before the claim", afterClaim: "after the claim", afterRun: "after the run", afterOutcome: "after the outcome"}
	again := map[string]func(m *ledger.Machine) *ledger.Book{
		"the same daemon":               func(m *ledger.Machine) *ledger.Book { return bookOn(m, "a", "1") },
		"the same daemon, started anew": func(m *ledger.Machine) *ledger.Book { return bookOn(m, "a", "2") },
		"another daemon":                func(m *ledger.Machine) *ledger.Book { return bookOn(m, "b", "1") },
	}
	upstream := map[string]deed{"answered": whole, "answer lost": cutAt0, "answer late": {cut: -1, after: 3 * time.Second}, "a stranger's answer": foreign}
	for at, where := range stops {
		for who, book := range again {
			for what, first := range upstream {
				t.Run(fmt.Sprintf("stopped %s, %s, sent again by %s", where, what, who), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						m := ledger.NewMachine()
						b := newBench(first, whole, whole, whole, whole, whole)
						stop := b.keepSeeing()
						defer stop()
						// The daemon stops by losing its way to the ledger and to its caller.
						ctx, crash := context.WithCancel(t.Context())
						claims := 0
						one := bookOn(m, "a", "1")
						apply := one.Propose
						one.Propose = func(ctx context.Context, key ledger.Key, data []byte) (ledger.Answer, error) {
							claims++
							if at == beforeClaim || claims == 2 && at != afterOutcome || claims > 2 {
								crash()
								return ledger.Answer{}, result.New(result.StorageDamaged, "the daemon has stopped")
							}
							answer, err := apply(ctx, key, data)
							if at == afterClaim {
								crash()
							}
							return answer, err
						}
						b.Book = one
						r := b.request()
						r.Repeatable, r.Key = false, "k"
						_, _ = b.Serve(ctx, r, nil)
						crash()
						for range 3 {
							b.Book = book(m)
							again := b.request()
							again.Repeatable, again.Key = false, "k"
							answer, err := b.Serve(t.Context(), again, nil)
							if err == nil && answer.Text != answerText {
								t.Errorf("answer %q", answer.Text)
							}
							if dispatch.NotRun(err) && b.runs > 0 {
								t.Errorf("called not run after %d runs: %v", b.runs, err)
							}
							time.Sleep(20 * time.Second)
						}
						if b.runs > 1 {
							t.Errorf("the request ran %d times", b.runs)
						}
					})
				})
			}
		}
	}
}

// A caller sends a request again and again, to any of three daemons, that ends each upstream which runs it: they hear of each other's
// upstreams, and after three ends it is refused at once, with when to come back. Work that is answered is never held.
func TestWorkThatEndsUpstreamsIsHeld(t *testing.T) {
	for _, once := range []bool{false, true} {
		t.Run(fmt.Sprintf("once %v", once), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var daemons []*bench
				runs := 0
				for _, name := range []string{"a", "b", "c"} {
					daemons = append(daemons, endingBench(name))
				}
				for n := range 12 {
					b := daemons[n%3]
					time.Sleep(time.Second)
					b.see()
					r := b.request()
					r.Content, r.Repeatable, r.Key = 7, !once, fmt.Sprint("key-", n)
					_, err := b.Serve(t.Context(), r, nil)
					if code := result.CodeOf(err); n >= 3 && code != result.WorkHeld {
						t.Errorf("request %d got code %d, want %d", n, code, result.WorkHeld)
					}
					if n >= 3 && admission.RetryAfter(err) < 30*time.Second {
						t.Errorf("request %d may come back after %v", n, admission.RetryAfter(err))
					}
					if left := b.Quarantine.Remaining(time.Now(), quarantine.Fingerprint{Customer: "c", Content: 8}); left > 0 {
						t.Errorf("other work is held for %v", left)
					}
					tell(daemons)
				}
				for _, b := range daemons {
					runs += b.runs
				}
				if runs > 4 {
					t.Errorf("ran %d times, want 4 at most", runs)
				}
			})
		})
	}
}

// endingBench is a dispatcher whose upstreams all end under what they run.
func endingBench(name string) *bench {
	b := newBench()
	for range 100 {
		b.deeds = append(b.deeds, cutAt0)
	}
	b.Book = bookOn(ledger.NewMachine(), "a", "1")
	b.renew(name)
	lives := 0
	b.Refuses = func(context.Context, string) bool {
		lives++
		b.renew(fmt.Sprint(name, lives))
		return true
	}
	return b
}

// renew puts the next lives of the upstreams in place.
func (b *bench) renew(names string) {
	time.Sleep(time.Millisecond)
	for i, target := range b.targets {
		life := ident.Incarnation(fmt.Sprint(names, "-", i))
		target.Members[0].Incarnation = life
	}
	b.see()
}

// tell lets all daemons hear what each has to tell.
func tell(daemons []*bench) {
	for _, from := range daemons {
		for _, r := range from.Quarantine.ToSend(time.Now(), 16) {
			for _, to := range daemons {
				to.Quarantine.Merge(time.Now(), &r)
			}
		}
	}
}

// What ends an upstream's connection while the upstream lives on holds no work.
func TestCutsAloneHoldNoWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := endingBench("a")
		b.Refuses = func(context.Context, string) bool { return false }
		for range 5 {
			b.see()
			r := b.request()
			r.Content = 7
			if _, err := b.Serve(t.Context(), r, nil); result.CodeOf(err) != result.UpstreamFailed {
				t.Errorf("got %v, want code %d", err, result.UpstreamFailed)
			}
		}
	})
}
