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

// withTestCluster runs fn with a site whose daemons are up and have a leader.
func withTestCluster(t *testing.T, domains []string, fn func(t *testing.T, s *testCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newTestCluster(t, domains...)
		defer s.stop()
		s.start(s.names...)
		s.waitServing(s.names...)
		fn(t, s)
	})
}

func TestEveryDaemonServesCompletions(t *testing.T) {
	withTestCluster(t, []string{"d1: w1 w2 w3"}, func(t *testing.T, s *testCluster) {
		s.createGroup("g", 2)
		for i, name := range s.names {
			s.waitWhole(name, "g")
			prompt := fmt.Sprint("prompt ", i)
			a := s.complete(name, "g", prompt, 5, nil)
			if diff := cmp.Diff(expectedText(prompt, 5), a.text); diff != "" || a.err != nil {
				t.Errorf("%s: status %d, error %v (-want +got):\n%s", name, a.status, a.err, diff)
			}
		}
	})
}

// Hundreds of changes, every daemon killed, and all of them come back to the current state.
func TestRestartOfAllDaemonsKeepsState(t *testing.T) {
	withTestCluster(t, []string{"d1: w1 w2"}, func(t *testing.T, s *testCluster) {
		s.createGroup("g", 2)
		var last ident.Revision
		for i := range 200 {
			label := &operator.LabelChange{VM: "w1", Set: map[string]string{"n": fmt.Sprint(i)}}
			revision, err := s.submitChange(s.names[i%3], &operator.Change{Label: label})
			s.noError(err)
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
		s.waitServing(s.names...)
		for _, name := range s.names {
			v, err := s.client(name).VM(t.Context(), "w1")
			s.noError(err)
			if got := v.Labels["n"]; got != "199" {
				t.Errorf("%s: label %q after the restart, want 199", name, got)
			}
			if st := s.status(name); st.Revision < last {
				t.Errorf("%s: revision %d after the restart, was %d", name, st.Revision, last)
			}
		}
		s.waitWhole("a", "g")
	})
}

// The leader is cut off and still believes it leads: it orders nothing, accepts nothing, and refuses requests by itself.
func TestPartitionedLeader(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprint("engines check orders: ", checks), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newTestCluster(t, "d1: w1 w2 w3")
				defer s.stop()
				for i := range s.upstreams {
					s.upstreams[i].ChecksOrders = checks
					s.engines[s.upstreams[i].Name].ChecksOrders = checks
				}
				s.start(s.names...)
				s.waitServing(s.names...)
				s.createGroup("g", 2)
				oldLeader := s.status("a").Leader
				others := slices.DeleteFunc(slices.Clone(s.names), func(n ident.Daemon) bool { return n == oldLeader })
				s.network.setPartitioned(oldLeader, true)
				oldFence := s.engines["w1"].Fence()
				// A change through the one that is cut off must not be accepted.
				rejected := &operator.Change{ID: "lost", Label: &operator.LabelChange{VM: "w3", Set: map[string]string{"by": "old"}}}
				if _, err := s.submitChange(oldLeader, rejected); result.CodeOf(err) != result.NoLeader {
					t.Errorf("a change through the cut off leader: %v", err)
				}
				revision, err := s.submitChange(others[0], &operator.Change{Label: &operator.LabelChange{VM: "w3", Set: map[string]string{"by": "new"}}})
				s.noError(err)
				s.waitFor("the cut off daemon refuses", 20*time.Second, func() bool { return !s.status(oldLeader).Serving })
				a := s.complete(oldLeader, "g", "to the cut off one", 3, nil)
				if a.code != fmt.Sprint(int(result.ControlUnreachable)) || !a.notRun || s.runsOf("to the cut off one") != 0 {
					t.Errorf("the cut off daemon answered %d, code %s, not run %t", a.status, a.code, a.notRun)
				}
				inForce, err := s.client(others[0]).Wait(t.Context(), revision, "30s")
				s.noError(err)
				if !inForce.Done {
					t.Errorf("revision %d is not in force everywhere: %v", revision, inForce.Daemons)
				}
				// A member dies: only the new leader may repair.
				killed := s.group(others[0], "g").Members[1]
				s.engines[killed].Kill()
				s.waitFor("repair by the new leader", 20*time.Second, func() bool {
					g := s.group(others[0], "g")
					return g.Whole && !slices.Contains(g.Members, killed)
				})
				if newFence := s.engines["w3"].Fence(); newFence.Term <= oldFence.Term {
					t.Errorf("the order came with term %d, the old leader's was %d", newFence.Term, oldFence.Term)
				}
				s.network.setPartitioned(oldLeader, false)
				s.waitServing(s.names...)
				v, err := s.client(oldLeader).VM(t.Context(), "w3")
				s.noError(err)
				if got := v.Labels["by"]; got != "new" {
					t.Errorf("after its return the old leader has label %q", got)
				}
			})
		})
	}
}

// A daemon that cannot reach the control members refuses after the bound; one that only has no leader serves on.
func TestRefusesWithoutControlMajority(t *testing.T) {
	withTestCluster(t, []string{"d1: w1 w2"}, func(t *testing.T, s *testCluster) {
		s.createGroup("g", 2)
		s.waitWhole("c", "g")
		s.kill("a", "b")
		if a := s.complete("c", "g", "at once", 2, nil); a.status != 200 {
			t.Errorf("right after the loss: status %d, code %s", a.status, a.code)
		}
		time.Sleep(10 * time.Second)
		if a := s.complete("c", "g", "later", 2, nil); a.code != fmt.Sprint(int(result.ControlUnreachable)) || s.runsOf("later") != 0 {
			t.Errorf("after the bound: status %d, code %s, ran %d times", a.status, a.code, s.runsOf("later"))
		}
	})
}

func TestLostDataFolderNeedsAdmission(t *testing.T) {
	withTestCluster(t, []string{"d1: w1 w2"}, func(t *testing.T, s *testCluster) {
		s.createGroup("g", 2)
		s.kill("c")
		s.noError(os.RemoveAll(s.settings("c").DataFolder))
		s.start("c")
		time.Sleep(5 * time.Second)
		if st := s.status("c"); st.Role == "leader" || st.Revision != 0 {
			t.Errorf("with a new folder and not admitted: role %s, revision %d", st.Role, st.Revision)
		}
		// The two others are the majority; a change is accepted.
		_, err := s.submitChange("a", &operator.Change{Label: &operator.LabelChange{VM: "w1", Set: map[string]string{"x": "1"}}})
		s.noError(err)
		s.noError(s.client("b").Admit(t.Context(), "c"))
		s.waitServing("a", "b", "c")
		v, err := s.client("c").VM(t.Context(), "w1")
		s.noError(err)
		if v.Labels["x"] != "1" {
			t.Errorf("the admitted member has labels %v", v.Labels)
		}
		// Its vote counts now: the system survives the loss of another member.
		time.Sleep(3 * time.Second)
		s.kill("a")
		_, err = s.submitChange("b", &operator.Change{Label: &operator.LabelChange{VM: "w1", Set: map[string]string{"x": "2"}}})
		s.noError(err)
	})
}

func TestConflictingAndResentChanges(t *testing.T) {
	withTestCluster(t, []string{"d1: w1 w2"}, func(t *testing.T, s *testCluster) {
		s.createGroup("g", 1)
		g := s.group("a", "g")
		change := func(id ident.Change, priority int) *operator.Change {
			spec := g.Spec
			spec.Priority = priority
			return &operator.Change{ID: id, IfRevision: g.Changed, Change: &spec}
		}
		first, err := s.submitChange("a", change("one", 1))
		s.noError(err)
		if _, err := s.submitChange("b", change("two", 2)); result.CodeOf(err) != result.ChangeConflict {
			t.Errorf("the second of two racing changes: %v", err)
		}
		// The answer to the first one was lost; its operator sends it again through another daemon, after a change of leader.
		s.kill(s.status("a").Leader)
		for _, name := range s.names {
			if s.running[name] == nil {
				continue
			}
			again, err := s.submitChange(name, change("one", 1))
			if err != nil || again != first {
				t.Errorf("resend through %s: revision %d, error %v; the first answer was %d", name, again, err, first)
			}
		}
	})
}

// A member that was frozen for longer than the bound returns as if nothing had happened.
func TestFrozenMemberReturns(t *testing.T) {
	withTestCluster(t, []string{"d1: w1 w2"}, func(t *testing.T, s *testCluster) {
		s.createGroup("g", 2)
		before := s.group("a", "g")
		s.engines[before.Members[1]].Pause()
		time.Sleep(4 * time.Second)
		a := s.complete("a", "g", "while frozen", 3, map[string]string{caller.HeaderDeadline: "2s"})
		if a.code != fmt.Sprint(int(result.NoWholeGroup)) || s.runsOf("while frozen") != 0 {
			t.Errorf("while a member is frozen: status %d, code %s, ran %d times", a.status, a.code, s.runsOf("while frozen"))
		}
		s.engines[before.Members[1]].Resume()
		s.waitWhole("a", "g")
		if after := s.group("a", "g"); after.Epoch <= before.Epoch {
			t.Errorf("the group serves again in epoch %d, it had %d", after.Epoch, before.Epoch)
		}
	})
}

func TestSecondLossRightAfterRepair(t *testing.T) {
	withTestCluster(t, []string{"d1: w1 w2 w3 w4"}, func(t *testing.T, s *testCluster) {
		s.createGroup("g", 2)
		for range 2 {
			g := s.group("a", "g")
			killed := g.Members[1]
			s.engines[killed].Kill()
			s.waitFor("repaired", 30*time.Second, func() bool {
				repaired := s.group("a", "g")
				return repaired.Whole && !slices.Contains(repaired.Members, killed)
			})
		}
		s.waitWhole("b", "g")
		if a := s.complete("b", "g", "after both", 3, nil); a.text != expectedText("after both", 3) {
			t.Errorf("after two repairs: status %d, code %s", a.status, a.code)
		}
	})
}

// An upstream that says that it leaves gets no new work within two seconds, and what it has in progress ends in peace.
func TestLeavingUpstream(t *testing.T) {
	for _, c := range []struct {
		name            string
		announceLeaving func(s *testCluster, vm ident.VM)
	}{
		{"its own word", func(s *testCluster, vm ident.VM) { s.engines[vm].SetLeaving(true) }},
		{"the platform's list", func(s *testCluster, vm ident.VM) { s.setPlatformStay(vm, vmlist.StayLeaving) }},
		{"an operator's change", func(s *testCluster, vm ident.VM) {
			_, err := s.submitChange("b", &operator.Change{Drain: &operator.DrainChange{VM: vm, Drain: true}})
			s.noError(err)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			withTestCluster(t, []string{"d1: w1 w2 w3"}, func(t *testing.T, s *testCluster) {
				s.createGroup("g", 2)
				for _, e := range s.engines {
					e.TokenTime = 200 * time.Millisecond
				}
				head := s.group("a", "g").Members[0]
				inProgress := make(chan response)
				go func() { inProgress <- s.complete("a", "g", "long", 30, nil) }()
				time.Sleep(time.Second)
				c.announceLeaving(s, head)
				time.Sleep(2 * time.Second)
				s.complete("c", "g", "after", 1, map[string]string{caller.HeaderDeadline: "1s"})
				if runs := s.runsOf("after"); runs != 0 {
					t.Errorf("a request was sent to the leaving group")
				}
				if a := <-inProgress; a.text != expectedText("long", 30) {
					t.Errorf("the request in progress: status %d, code %s, error %v", a.status, a.code, a.err)
				}
				s.waitFor("served without the leaving VM", 30*time.Second, func() bool {
					g := s.group("a", "g")
					return g.Whole && !slices.Contains(g.Members, head)
				})
			})
		})
	}
}

func TestPlannedStopFinishesRequests(t *testing.T) {
	withTestCluster(t, []string{"d1: w1 w2"}, func(t *testing.T, s *testCluster) {
		s.createGroup("g", 2)
		s.waitWhole("b", "g")
		for _, e := range s.engines {
			e.TokenTime = 500 * time.Millisecond
		}
		inProgress := make(chan response)
		go func() { inProgress <- s.complete("b", "g", "long", 20, nil) }()
		time.Sleep(time.Second)
		stopped := make(chan struct{})
		go func() {
			s.running["b"].daemon.Stop(t.Context())
			close(stopped)
		}()
		time.Sleep(4 * time.Second)
		a := s.complete("b", "g", "too late", 1, nil)
		if a.code != fmt.Sprint(int(result.Stopping)) || !a.notRun || s.runsOf("too late") != 0 {
			t.Errorf("a request to the stopping daemon: status %d, code %s, not run %t", a.status, a.code, a.notRun)
		}
		if a := <-inProgress; a.text != expectedText("long", 20) {
			t.Errorf("the request in progress: status %d, code %s, error %v", a.status, a.code, a.err)
		}
		<-stopped
		s.kill("b")
		if a := s.complete("a", "g", "elsewhere", 1, nil); a.status != 200 {
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
			withTestCluster(t, nil, func(t *testing.T, s *testCluster) {
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

func TestCustomerLimitAcrossDaemons(t *testing.T) {
	withTestCluster(t, []string{"d1: w1 w2"}, func(t *testing.T, s *testCluster) {
		s.createGroup("g", 2)
		for _, name := range s.names {
			s.waitWhole(name, "g")
		}
		_, err := s.submitChange("a", &operator.Change{Limits: &operator.LimitChange{Customer: "cust", Limits: fleet.CustomerLimits{Concurrent: 2}}})
		s.noError(err)
		for _, e := range s.engines {
			e.TokenTime = 300 * time.Millisecond
		}
		time.Sleep(2 * time.Second)
		const requests = 9
		answers := make(chan response, requests)
		for i := range requests {
			go func() { answers <- s.complete(s.names[i%3], "g", fmt.Sprint("limited ", i), 20, nil) }()
		}
		refused := 0
		for range requests {
			if a := <-answers; a.code == fmt.Sprint(int(result.LimitExceeded)) && a.notRun {
				refused++
			}
		}
		if ran := requests - refused; ran < 2 || ran > 3 {
			t.Errorf("%d requests ran at once over all daemons, the limit is 2", ran)
		}
	})
}

// An upstream that names how many requests a second it takes gets that from all daemons together, which ask one of them for each request.
func TestUpstreamLimitAcrossDaemons(t *testing.T) {
	withTestCluster(t, []string{"d1: w1"}, func(t *testing.T, s *testCluster) {
		s.createGroup("g", 1)
		for _, name := range s.names {
			s.waitWhole(name, "g")
		}
		const limit, duration = 2, 10 * time.Second
		var mu sync.Mutex
		arrived := map[string]int{}
		count := func(upstream string) {
			mu.Lock()
			defer mu.Unlock()
			arrived[upstream]++
		}
		s.service.Limit, s.service.OnCall = limit, func() { count("worker") }
		s.engines["w1"].Limit.Store(limit)
		s.engines["w1"].OnRun = func(ident.Request, string) { count("head") }
		for _, name := range s.names {
			s.send(name, "/services/"+serviceName+"/x", "first "+string(name), nil)
			s.complete(name, "g", "first "+string(name), 1, nil)
		}
		time.Sleep(2 * time.Second)
		clear(arrived)
		var wg sync.WaitGroup
		for n := range int(duration / (50 * time.Millisecond)) {
			name := s.names[n%3]
			wg.Go(func() { s.send(name, "/services/"+serviceName+"/x", fmt.Sprint(n), nil) })
			wg.Go(func() { s.complete(name, "g", fmt.Sprint("limited ", n), 1, nil) })
			time.Sleep(50 * time.Millisecond)
		}
		mu.Lock()
		got := maps.Clone(arrived)
		mu.Unlock()
		wg.Wait()
		for _, upstream := range []string{"worker", "head"} {
			if maxArrived := int(limit*duration.Seconds()) + 1; got[upstream] > maxArrived || got[upstream] < maxArrived*9/10 {
				t.Errorf("the %s got %d requests in %v, want %d at most and nearly that", upstream, got[upstream], duration, maxArrived)
			}
		}
	})
}

// A daemon learns from cache events what another one has sent where, and forgets it when events are missed.
func TestCacheEventsReachOtherDaemons(t *testing.T) {
	withTestCluster(t, []string{"d1: w1 w2 w3 w4 w5 w6"}, func(t *testing.T, s *testCluster) {
		for _, name := range []ident.Group{"g", "h", "i", "j", "k", "l"} {
			spec := fleet.GroupSpec{Name: name, Model: "model-g", Size: 1}
			_, err := s.submitChange("a", &operator.Change{Create: &spec})
			s.noError(err)
		}
		for _, at := range s.names {
			for _, name := range []ident.Group{"g", "h", "i", "j", "k", "l"} {
				s.waitWhole(at, name)
			}
		}
		prompt := strings.Repeat("a long common beginning ", 2000)
		if a := s.complete("a", "g", prompt, 2, nil); a.status != 200 {
			t.Fatalf("status %d, code %s", a.status, a.code)
		}
		first := s.vmThatRan(prompt)
		time.Sleep(12 * time.Second)
		// Every prompt with that beginning follows, also through the daemons that have not seen the first one.
		for i := range 10 {
			again := prompt + fmt.Sprint(i)
			s.complete(s.names[i%3], "g", again, 2, nil)
			if at := s.vmThatRan(again); at != first {
				t.Errorf("prompt %d went to %s through %s, the first one to %s", i, at, s.names[i%3], first)
			}
		}
	})
}

// Metrics and logs tell what happened, and neither a key nor a prompt.
func TestMetricsAndLogs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestCluster(t, "d1: w1 w2")
		defer s.stop()
		s.editSettings = func(cfg *settings.Settings) { cfg.Addresses.Metrics = string(cfg.Name) + ":4" }
		s.start(s.names...)
		s.waitServing(s.names...)
		s.createGroup("g", 2)
		s.complete("a", "g", "a secret prompt", 3, nil)
		s.send("a", "/v1/completions", "{", nil)
		time.Sleep(3 * time.Second)
		w, err := s.http.Get("http://a:4/metrics")
		s.noError(err)
		defer w.Body.Close()
		body, err := io.ReadAll(w.Body)
		s.noError(err)
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
		for _, line := range strings.Split(strings.TrimSpace(s.logText()), "\n") {
			if !json.Valid([]byte(line)) {
				t.Errorf("a log line is no JSON: %s", line)
			}
		}
		for _, secret := range []string{s.customerKey, s.operatorKey, "secret prompt"} {
			if strings.Contains(s.logText()+string(body), secret) {
				t.Errorf("%q stands in logs or metrics", secret)
			}
		}
		if ended := `"customer":"cust","class":"interactive","group":"g","epoch":`; !strings.Contains(s.logText(), ended) {
			t.Errorf("logs lack %s:\n%s", ended, s.logText())
		}
	})
}

// The deadline for writing one answer must not cut off the next one on the same connection.
func TestWriteDeadlineEndsWithResponse(t *testing.T) {
	withTestCluster(t, []string{"d1: w1"}, func(t *testing.T, s *testCluster) {
		s.createGroup("g", 1)
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
