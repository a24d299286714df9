package daemon_test

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/caller"
	"github.com/dunlinquay/dunlinquay/fleet"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/operator"
	"github.com/dunlinquay/dunlinquay/result"
	"github.com/dunlinquay/dunlinquay/settings"
	"github.com/dunlinquay/dunlinquay/vmlist"
)

// bubble runs fn with a site whose daemons are up and have a leader.
func bubble(t *testing.T, domains []string, fn func(t *testing.T, s *site)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, domains...)
		defer s.end()
		s.start(s.names...)
		s.awaitServing(s.names...)
		fn(t, s)
	})
}

func TestEveryDaemonServesAWholeAnswer(t *testing.T) {
	bubble(t, []string{"d1: w1 w2 w3"}, func(t *testing.T, s *site) {
		s.create("g", 2)
		for i, name := range s.names {
			s.awaitWhole(name, "g")
			prompt := fmt.Sprint("prompt ", i)
			a := s.ask(name, "g", prompt, 5, nil)
			if diff := cmp.Diff(expected(prompt, 5), a.text); diff != "" || a.err != nil {
				t.Errorf("%s: status %d, error %v (-want +got):\n%s", name, a.status, a.err, diff)
			}
		}
	})
}

// Hundreds of changes, every daemon killed, and all of them come back to the current state.
func TestRestartOfAllDaemons(t *testing.T) {
	bubble(t, []string{"d1: w1 w2"}, func(t *testing.T, s *site) {
		s.create("g", 2)
		var last ident.Revision
		for i := range 200 {
			label := &operator.LabelChange{VM: "w1", Set: map[string]string{"n": fmt.Sprint(i)}}
			revision, err := s.change(s.names[i%3], &operator.Change{Label: label})
			s.must(err)
			if revision <= last {
				t.Fatalf("revision %d after %d", revision, last)
			}
			last = revision
		}
		s.kill(s.names...)
		s.start(s.names...)
		// From the first moment on whoever says that it serves does so by the newest revision.
		for range 100 {
			for _, name := range s.names {
				if st := s.status(name); st.Serving && st.Revision < last {
					t.Fatalf("%s serves by revision %d after the restart, %d was accepted", name, st.Revision, last)
				}
			}
			time.Sleep(20 * time.Millisecond)
		}
		s.awaitServing(s.names...)
		for _, name := range s.names {
			v, err := s.client(name).VM(t.Context(), "w1")
			s.must(err)
			if got := v.Labels["n"]; got != "199" {
				t.Errorf("%s: label %q after the restart, want 199", name, got)
			}
			if st := s.status(name); st.Revision < last {
				t.Errorf("%s: revision %d after the restart, was %d", name, st.Revision, last)
			}
		}
		s.awaitWhole("a", "g")
	})
}

// The leader is cut off and still believes it leads: it orders nothing, accepts nothing, and refuses requests by itself.
func TestLeaderCutOffSilently(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprint("engines check orders: ", checks), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(t, "d1: w1 w2 w3")
				defer s.end()
				for i := range s.upstream {
					s.upstream[i].ChecksOrders = checks
					s.engines[s.upstream[i].Name].ChecksOrders = checks
				}
				s.start(s.names...)
				s.awaitServing(s.names...)
				s.create("g", 2)
				old := s.status("a").Leader
				others := slices.DeleteFunc(slices.Clone(s.names), func(n ident.Daemon) bool { return n == old })
				s.wire.setCut(old, true)
				fence := s.engines["w1"].Fence()
				// A change through the one that is cut off must not be accepted.
				lost := &operator.Change{ID: "lost", Label: &operator.LabelChange{VM: "w3", Set: map[string]string{"by": "old"}}}
				if _, err := s.change(old, lost); result.CodeOf(err) != result.NoLeader {
					t.Errorf("a change through the cut off leader: %v", err)
				}
				revision, err := s.change(others[0], &operator.Change{Label: &operator.LabelChange{VM: "w3", Set: map[string]string{"by": "new"}}})
				s.must(err)
				s.until("the cut off daemon refuses", 20*time.Second, func() bool { return !s.status(old).Serving })
				a := s.ask(old, "g", "to the cut off one", 3, nil)
				if a.code != fmt.Sprint(int(result.ControlUnreachable)) || !a.notRun || s.runsOf("to the cut off one") != 0 {
					t.Errorf("the cut off daemon answered %d, code %s, not run %t", a.status, a.code, a.notRun)
				}
				f, err := s.client(others[0]).Wait(t.Context(), revision, "30s")
				s.must(err)
				if !f.Done {
					t.Errorf("revision %d is not in force everywhere: %v", revision, f.Daemons)
				}
				// A member dies: only the new leader may repair.
				gone := s.group(others[0], "g").Members[1]
				s.engines[gone].Kill()
				s.until("repair by the new leader", 20*time.Second, func() bool {
					g := s.group(others[0], "g")
					return g.Whole && !slices.Contains(g.Members, gone)
				})
				if now := s.engines["w3"].Fence(); now.Term <= fence.Term {
					t.Errorf("the order came with term %d, the old leader's was %d", now.Term, fence.Term)
				}
				s.wire.setCut(old, false)
				s.awaitServing(s.names...)
				v, err := s.client(old).VM(t.Context(), "w3")
				s.must(err)
				if got := v.Labels["by"]; got != "new" {
					t.Errorf("after its return the old leader has label %q", got)
				}
			})
		})
	}
}

// A daemon that cannot reach the control members refuses after the bound; one that only has no leader serves on.
func TestWhatIsServedWithoutControl(t *testing.T) {
	bubble(t, []string{"d1: w1 w2"}, func(t *testing.T, s *site) {
		s.create("g", 2)
		s.awaitWhole("c", "g")
		s.kill("a", "b")
		if a := s.ask("c", "g", "at once", 2, nil); a.status != 200 {
			t.Errorf("right after the loss: status %d, code %s", a.status, a.code)
		}
		time.Sleep(10 * time.Second)
		if a := s.ask("c", "g", "later", 2, nil); a.code != fmt.Sprint(int(result.ControlUnreachable)) || s.runsOf("later") != 0 {
			t.Errorf("after the bound: status %d, code %s, ran %d times", a.status, a.code, s.runsOf("later"))
		}
	})
}

func TestLostDataFolder(t *testing.T) {
	bubble(t, []string{"d1: w1 w2"}, func(t *testing.T, s *site) {
		s.create("g", 2)
		s.kill("c")
		s.must(os.RemoveAll(s.settings("c").DataFolder))
		s.start("c")
		time.Sleep(5 * time.Second)
		if st := s.status("c"); st.Role == "leader" || st.Revision != 0 {
			t.Errorf("with a new folder and not admitted: role %s, revision %d", st.Role, st.Revision)
		}
		// The two others are the majority; a change is accepted.
		_, err := s.change("a", &operator.Change{Label: &operator.LabelChange{VM: "w1", Set: map[string]string{"x": "1"}}})
		s.must(err)
		s.must(s.client("b").Admit(t.Context(), "c"))
		s.awaitServing("a", "b", "c")
		v, err := s.client("c").VM(t.Context(), "w1")
		s.must(err)
		if v.Labels["x"] != "1" {
			t.Errorf("the admitted member has labels %v", v.Labels)
		}
		// Its vote counts now: the system survives the loss of another member.
		time.Sleep(3 * time.Second)
		s.kill("a")
		_, err = s.change("b", &operator.Change{Label: &operator.LabelChange{VM: "w1", Set: map[string]string{"x": "2"}}})
		s.must(err)
	})
}

func TestOperatorsRaceAndResend(t *testing.T) {
	bubble(t, []string{"d1: w1 w2"}, func(t *testing.T, s *site) {
		s.create("g", 1)
		g := s.group("a", "g")
		change := func(id ident.Change, priority int) *operator.Change {
			spec := g.Spec
			spec.Priority = priority
			return &operator.Change{ID: id, IfRevision: g.Changed, Change: &spec}
		}
		first, err := s.change("a", change("one", 1))
		s.must(err)
		if _, err := s.change("b", change("two", 2)); result.CodeOf(err) != result.ChangeConflict {
			t.Errorf("the second of two racing changes: %v", err)
		}
		// The answer to the first one was lost; its operator sends it again through another daemon, after a change of leader.
		s.kill(s.status("a").Leader)
		for _, name := range s.names {
			if s.running[name] == nil {
				continue
			}
			again, err := s.change(name, change("one", 1))
			if err != nil || again != first {
				t.Errorf("resend through %s: revision %d, error %v; the first answer was %d", name, again, err, first)
			}
		}
	})
}

// A member that was frozen for longer than the bound returns as if nothing had happened.
func TestFrozenMemberReturns(t *testing.T) {
	bubble(t, []string{"d1: w1 w2"}, func(t *testing.T, s *site) {
		s.create("g", 2)
		before := s.group("a", "g")
		s.engines[before.Members[1]].Pause()
		time.Sleep(4 * time.Second)
		a := s.ask("a", "g", "while frozen", 3, map[string]string{caller.HeaderDeadline: "2s"})
		if a.code != fmt.Sprint(int(result.NoWholeGroup)) || s.runsOf("while frozen") != 0 {
			t.Errorf("while a member is frozen: status %d, code %s, ran %d times", a.status, a.code, s.runsOf("while frozen"))
		}
		s.engines[before.Members[1]].Resume()
		s.awaitWhole("a", "g")
		if after := s.group("a", "g"); after.Epoch <= before.Epoch {
			t.Errorf("the group serves again in epoch %d, it had %d", after.Epoch, before.Epoch)
		}
	})
}

func TestSecondLossRightAfterARepair(t *testing.T) {
	bubble(t, []string{"d1: w1 w2 w3 w4"}, func(t *testing.T, s *site) {
		s.create("g", 2)
		for range 2 {
			g := s.group("a", "g")
			gone := g.Members[1]
			s.engines[gone].Kill()
			s.until("repaired", 30*time.Second, func() bool {
				now := s.group("a", "g")
				return now.Whole && !slices.Contains(now.Members, gone)
			})
		}
		s.awaitWhole("b", "g")
		if a := s.ask("b", "g", "after both", 3, nil); a.text != expected("after both", 3) {
			t.Errorf("after two repairs: status %d, code %s", a.status, a.code)
		}
	})
}

// An upstream that says that it leaves gets no new work within two seconds, and what it has in progress ends in peace.
func TestLeavingUpstream(t *testing.T) {
	for _, c := range []struct {
		name  string
		leave func(s *site, vm ident.VM)
	}{
		{"its own word", func(s *site, vm ident.VM) { s.engines[vm].SetLeaving(true) }},
		{"the platform's list", func(s *site, vm ident.VM) { s.listAs(vm, vmlist.StayLeaving) }},
		{"an operator's change", func(s *site, vm ident.VM) {
			_, err := s.change("b", &operator.Change{Drain: &operator.DrainChange{VM: vm, Drain: true}})
			s.must(err)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			bubble(t, []string{"d1: w1 w2 w3"}, func(t *testing.T, s *site) {
				s.create("g", 2)
				for _, e := range s.engines {
					e.TokenTime = 200 * time.Millisecond
				}
				head := s.group("a", "g").Members[0]
				long := make(chan answer)
				go func() { long <- s.ask("a", "g", "long", 30, nil) }()
				time.Sleep(time.Second)
				c.leave(s, head)
				time.Sleep(2 * time.Second)
				s.ask("c", "g", "after", 1, map[string]string{caller.HeaderDeadline: "1s"})
				if runs := s.runsOf("after"); runs != 0 {
					t.Errorf("a request was sent to the leaving group")
				}
				if a := <-long; a.text != expected("long", 30) {
					t.Errorf("the request in progress: status %d, code %s, error %v", a.status, a.code, a.err)
				}
				s.until("served without the leaving VM", 30*time.Second, func() bool {
					g := s.group("a", "g")
					return g.Whole && !slices.Contains(g.Members, head)
				})
			})
		})
	}
}

func TestPlannedStopCutsOffNothing(t *testing.T) {
	bubble(t, []string{"d1: w1 w2"}, func(t *testing.T, s *site) {
		s.create("g", 2)
		s.awaitWhole("b", "g")
		for _, e := range s.engines {
			e.TokenTime = 500 * time.Millisecond
		}
		long := make(chan answer)
		go func() { long <- s.ask("b", "g", "long", 20, nil) }()
		time.Sleep(time.Second)
		stopped := make(chan struct{})
		go func() {
			s.running["b"].daemon.Stop(t.Context())
			close(stopped)
		}()
		time.Sleep(4 * time.Second)
		a := s.ask("b", "g", "too late", 1, nil)
		if a.code != fmt.Sprint(int(result.Stopping)) || !a.notRun || s.runsOf("too late") != 0 {
			t.Errorf("a request to the stopping daemon: status %d, code %s, not run %t", a.status, a.code, a.notRun)
		}
		if a := <-long; a.text != expected("long", 20) {
			t.Errorf("the request in progress: status %d, code %s, error %v", a.status, a.code, a.err)
		}
		<-stopped
		s.kill("b")
		if a := s.ask("a", "g", "elsewhere", 1, nil); a.status != 200 {
			t.Errorf("the others: status %d, code %s", a.status, a.code)
		}
	})
}

// The daemon that sent a not-repeatable call dies; whoever sends it again anywhere never makes it run twice.
func TestNotRepeatableCallSurvivesItsDaemon(t *testing.T) {
	for _, c := range []struct {
		name  string
		delay time.Duration
		kill  time.Duration
		want  []result.Code
	}{
		{"died while the call ran", 3 * time.Second, time.Second, []result.Code{result.InProgress, result.OutcomeUnknown}},
		{"died after the answer was kept", 100 * time.Millisecond, 2 * time.Second, []result.Code{result.OK}},
	} {
		t.Run(c.name, func(t *testing.T) {
			bubble(t, nil, func(t *testing.T, s *site) {
				s.service.Delay = c.delay
				header := map[string]string{caller.HeaderKey: "k1", caller.HeaderDeadline: "10s"}
				go s.send("b", "/services/"+serviceName+"/charges", "body", header)
				time.Sleep(c.kill)
				s.kill("b")
				for i := range 4 {
					a := s.send([]ident.Daemon{"a", "c"}[i%2], "/services/"+serviceName+"/charges", "body", header)
					code := result.OK
					if a.code != "" {
						_, _ = fmt.Sscan(a.code, &code)
					}
					if !slices.Contains(c.want, code) {
						t.Errorf("resend %d: code %d, want one of %v: %s", i, code, c.want, a.text)
					}
					time.Sleep(5 * time.Second)
				}
				if n := s.service.Doubled(); n != 0 {
					t.Errorf("%d calls ran twice", n)
				}
			})
		})
	}
}

func TestLimitsHoldOverAllDaemons(t *testing.T) {
	bubble(t, []string{"d1: w1 w2"}, func(t *testing.T, s *site) {
		s.create("g", 2)
		for _, name := range s.names {
			s.awaitWhole(name, "g")
		}
		_, err := s.change("a", &operator.Change{Limits: &operator.LimitChange{Customer: "cust", Limits: fleet.CustomerLimits{Concurrent: 2}}})
		s.must(err)
		for _, e := range s.engines {
			e.TokenTime = 300 * time.Millisecond
		}
		time.Sleep(2 * time.Second)
		const sent = 9
		answers := make(chan answer, sent)
		for i := range sent {
			go func() { answers <- s.ask(s.names[i%3], "g", fmt.Sprint("limited ", i), 20, nil) }()
		}
		refused := 0
		for range sent {
			if a := <-answers; a.code == fmt.Sprint(int(result.LimitExceeded)) && a.notRun {
				refused++
			}
		}
		if ran := sent - refused; ran < 2 || ran > 3 {
			t.Errorf("%d requests ran at once over all daemons, the limit is 2", ran)
		}
	})
}

// An upstream that names how many requests a second it takes gets that from all daemons together, which ask one of them for each request.
func TestLimitsOfUpstreamsHoldOverAllDaemons(t *testing.T) {
	bubble(t, []string{"d1: w1"}, func(t *testing.T, s *site) {
		s.create("g", 1)
		for _, name := range s.names {
			s.awaitWhole(name, "g")
		}
		const limit, lasts = 2, 10 * time.Second
		var mu sync.Mutex
		arrived := map[string]int{}
		count := func(what string) {
			mu.Lock()
			defer mu.Unlock()
			arrived[what]++
		}
		s.service.Limit, s.service.OnCall = limit, func() { count("worker") }
		s.engines["w1"].Limit.Store(limit)
		s.engines["w1"].OnRun = func(ident.Request, string) { count("head") }
		for _, name := range s.names {
			s.send(name, "/services/"+serviceName+"/x", "first "+string(name), nil)
			s.ask(name, "g", "first "+string(name), 1, nil)
		}
		time.Sleep(2 * time.Second)
		clear(arrived)
		var wg sync.WaitGroup
		for n := range int(lasts / (50 * time.Millisecond)) {
			name := s.names[n%3]
			wg.Go(func() { s.send(name, "/services/"+serviceName+"/x", fmt.Sprint(n), nil) })
			wg.Go(func() { s.ask(name, "g", fmt.Sprint("limited ", n), 1, nil) })
			time.Sleep(50 * time.Millisecond)
		}
		mu.Lock()
		got := maps.Clone(arrived)
		mu.Unlock()
		wg.Wait()
		for _, what := range []string{"worker", "head"} {
			if most := int(limit*lasts.Seconds()) + 1; got[what] > most || got[what] < most*9/10 {
				t.Errorf("the %s got %d requests in %v, want %d at most and nearly that", what, got[what], lasts, most)
			}
		}
	})
}

// A daemon learns from cache events what another one has sent where, and forgets it when events are missed.
func TestCacheEventsReachOtherDaemons(t *testing.T) {
	bubble(t, []string{"d1: w1 w2 w3 w4 w5 w6"}, func(t *testing.T, s *site) {
		for _, name := range []ident.Group{"g", "h", "i", "j", "k", "l"} {
			spec := fleet.GroupSpec{Name: name, Model: "model-g", Size: 1}
			_, err := s.change("a", &operator.Change{Create: &spec})
			s.must(err)
		}
		for _, at := range s.names {
			for _, name := range []ident.Group{"g", "h", "i", "j", "k", "l"} {
				s.awaitWhole(at, name)
			}
		}
		prompt := strings.Repeat("a long common beginning ", 2000)
		if a := s.ask("a", "g", prompt, 2, nil); a.status != 200 {
			t.Fatalf("status %d, code %s", a.status, a.code)
		}
		first := s.ran(prompt)
		time.Sleep(12 * time.Second)
		// Every prompt with that beginning follows, also through the daemons that have not seen the first one.
		for i := range 10 {
			again := prompt + fmt.Sprint(i)
			s.ask(s.names[i%3], "g", again, 2, nil)
			if at := s.ran(again); at != first {
				t.Errorf("prompt %d went to %s through %s, the first one to %s", i, at, s.names[i%3], first)
			}
		}
	})
}

// Metrics and logs tell what happened, and neither a key nor a prompt.
func TestMetricsAndLogs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, "d1: w1 w2")
		defer s.end()
		s.adjust = func(cfg *settings.Settings) { cfg.Addresses.Metrics = string(cfg.Name) + ":4" }
		s.start(s.names...)
		s.awaitServing(s.names...)
		s.create("g", 2)
		s.ask("a", "g", "a secret prompt", 3, nil)
		s.send("a", "/v1/completions", "{", nil)
		time.Sleep(3 * time.Second)
		w, err := s.http.Get("http://a:4/metrics")
		s.must(err)
		defer w.Body.Close()
		body, err := io.ReadAll(w.Body)
		s.must(err)
		for _, want := range []string{
			`dunlinquay_request_count{class="interactive",customer="cust"} 1`,
			`dunlinquay_first_token_count{class="interactive",customer="cust"} 1`,
			`dunlinquay_admission_wait_count{class="interactive",customer="cust"} 1`,
			`dunlinquay_requests{code="0",customer="cust",result="ok"} 1`,
			`dunlinquay_requests{code="2001",customer="cust",result="bad-request"} 1`,
			`dunlinquay_groups_whole 1`,
			`dunlinquay_group_downtime_seconds{group="g"}`,
			`dunlinquay_stranded_accelerators 0`,
		} {
			if !strings.Contains(string(body), want) {
				t.Errorf("metrics lack %s:\n%s", want, body)
			}
		}
		for _, line := range strings.Split(strings.TrimSpace(s.logged()), "\n") {
			if !json.Valid([]byte(line)) {
				t.Errorf("a log line is no JSON: %s", line)
			}
		}
		for _, secret := range []string{s.key, s.op, "secret prompt"} {
			if strings.Contains(s.logged()+string(body), secret) {
				t.Errorf("%q stands in logs or metrics", secret)
			}
		}
		if ended := `"customer":"cust","class":"interactive","group":"g","epoch":`; !strings.Contains(s.logged(), ended) {
			t.Errorf("logs lack %s:\n%s", ended, s.logged())
		}
	})
}

// The deadline for writing one answer must not cut off the next one on the same connection.
func TestAKeptConnectionOutlivesItsWriteDeadline(t *testing.T) {
	bubble(t, []string{"d1: w1"}, func(t *testing.T, s *site) {
		s.create("g", 1)
		for _, c := range []struct {
			name, path, body string
			status           int
		}{
			{"an answer", "/v1/completions", `{"model":"model-g","prompt":"p","max_tokens":2}`, 200},
			{"a refusal", "/v1/completions", `{`, 400},
			{"a reply of a service", "/services/" + serviceName + "/x", "b", 200},
			{"an answer again", "/v1/completions", `{"model":"model-g","prompt":"p","max_tokens":2,"stream":true}`, 200},
		} {
			if a := s.send("a", c.path, c.body, nil); a.status != c.status || a.err != nil {
				t.Errorf("%s: status %d, error %v", c.name, a.status, a.err)
			}
			time.Sleep(40 * time.Second)
		}
	})
}
