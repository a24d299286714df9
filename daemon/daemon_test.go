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

// withTestCluster runs fn in a synctest bubble with a cluster whose daemons serve and have a leader.
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

// After many changes all daemons are killed. Restarted, none of them serves by an older revision than the newest.
func TestRestartOfAllDaemonsKeepsState(t *testing.T) {
	withTestCluster(t, []string{"d1: w1 w2"}, func(t *testing.T, s *testCluster) {
		s.createGroup("g", 2)
		var newest ident.Revision
		for i := range 200 {
			label := &operator.LabelChange{VM: "w1", Set: map[string]string{"n": fmt.Sprint(i)}}
			revision, err := s.submitChange(s.names[i%3], &operator.Change{Label: label})
			s.noError(err)
			if revision <= newest {
				t.Fatalf("revision %d after %d", revision, newest)
			}
			newest = revision
		}
		s.kill(s.names...)
		s.start(s.names...)
		// From its start on a daemon that reports that it serves has the newest revision.
		for range 100 {
			for _, name := range s.names {
				if st := s.status(name); st.Serving && st.Revision < newest {
					t.Fatalf("%s serves by revision %d after the restart, want at least %d", name, st.Revision, newest)
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
			if st := s.status(name); st.Revision < newest {
				t.Errorf("%s: revision %d after the restart, want at least %d", name, st.Revision, newest)
			}
		}
		s.waitWhole("a", "g")
	})
}

// A leader that is partitioned still believes that it leads. It must send no orders, accept no changes and refuse
// requests by itself, with engines that check fences and with engines that don't.
func TestPartitionedLeader(t *testing.T) {
	for _, checkOrders := range []bool{true, false} {
		t.Run(fmt.Sprint("engines check orders: ", checkOrders), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newTestCluster(t, "d1: w1 w2 w3")
				defer s.stop()
				for i := range s.upstreams {
					s.upstreams[i].ChecksOrders = checkOrders
					s.engines[s.upstreams[i].Name].ChecksOrders = checkOrders
				}
				s.start(s.names...)
				s.waitServing(s.names...)
				s.createGroup("g", 2)
				oldLeader := s.status("a").Leader
				others := slices.DeleteFunc(slices.Clone(s.names), func(n ident.Daemon) bool { return n == oldLeader })
				s.network.setPartitioned(oldLeader, true)
				var oldTerm uint64
				for _, e := range s.engines {
					oldTerm = max(oldTerm, e.Fence().Term)
				}
				// The partitioned leader must not accept a change.
				rejected := &operator.Change{ID: "lost", Label: &operator.LabelChange{VM: "w3", Set: map[string]string{"by": "old"}}}
				if _, err := s.submitChange(oldLeader, rejected); result.CodeOf(err) != result.NoLeader {
					t.Errorf("change through the partitioned leader: error %v, want code no-leader", err)
				}
				revision, err := s.submitChange(others[0], &operator.Change{Label: &operator.LabelChange{VM: "w3", Set: map[string]string{"by": "new"}}})
				s.noError(err)
				s.waitFor("the partitioned daemon refuses requests", 20*time.Second, func() bool { return !s.status(oldLeader).Serving })
				a := s.complete(oldLeader, "g", "to the cut off one", 3, nil)
				if a.code != fmt.Sprint(int(result.ControlUnreachable)) || !a.notRun || s.runsOf("to the cut off one") != 0 {
					t.Errorf("request to the partitioned daemon: status %d, code %s, not run %t; want control-unreachable, not run", a.status, a.code, a.notRun)
				}
				inForce, err := s.client(others[0]).Wait(t.Context(), revision, "30s")
				s.noError(err)
				if !inForce.Done {
					t.Errorf("revision %d is not in force on all daemons: %v", revision, inForce.Daemons)
				}
				// A group member crashes: only the new leader may repair the group.
				killed := s.group(others[0], "g").Members[1]
				s.engines[killed].Kill()
				s.waitFor("repair by the new leader", 20*time.Second, func() bool {
					g := s.group(others[0], "g")
					return g.Whole && !slices.Contains(g.Members, killed)
				})
				// Any two of the VMs may have been members before; a repair orders all members of the repaired group.
				for _, member := range s.group(others[0], "g").Members {
					if fence := s.engines[member].Fence(); fence.Term <= oldTerm {
						t.Errorf("last order to %s had term %d, want a term above the old leader's %d", member, fence.Term, oldTerm)
					}
				}
				s.network.setPartitioned(oldLeader, false)
				s.waitServing(s.names...)
				v, err := s.client(oldLeader).VM(t.Context(), "w3")
				s.noError(err)
				if got := v.Labels["by"]; got != "new" {
					t.Errorf("label on the old leader after the partition: %q, want new", got)
				}
			})
		})
	}
}

// A daemon without contact to a majority of control members serves until the control bound and refuses requests after it.
func TestRefusesWithoutControlMajority(t *testing.T) {
	withTestCluster(t, []string{"d1: w1 w2"}, func(t *testing.T, s *testCluster) {
		s.createGroup("g", 2)
		s.waitWhole("c", "g")
		s.kill("a", "b")
		if a := s.complete("c", "g", "at once", 2, nil); a.status != 200 {
			t.Errorf("right after the loss of the majority: status %d, code %s", a.status, a.code)
		}
		time.Sleep(10 * time.Second)
		if a := s.complete("c", "g", "later", 2, nil); a.code != fmt.Sprint(int(result.ControlUnreachable)) || s.runsOf("later") != 0 {
			t.Errorf("after the control bound: status %d, code %s, ran %d times", a.status, a.code, s.runsOf("later"))
		}
	})
}

// A control member that restarts with an empty data folder has no vote and no state until an operator admits it.
func TestLostDataFolderNeedsAdmission(t *testing.T) {
	withTestCluster(t, []string{"d1: w1 w2"}, func(t *testing.T, s *testCluster) {
		s.createGroup("g", 2)
		s.kill("c")
		s.noError(os.RemoveAll(s.settings("c").DataFolder))
		s.start("c")
		time.Sleep(5 * time.Second)
		if st := s.status("c"); st.Role == "leader" || st.Revision != 0 {
			t.Errorf("with a new folder before admission: role %s, revision %d, want no leader and revision 0", st.Role, st.Revision)
		}
		// The two others are a majority and accept a change.
		_, err := s.submitChange("a", &operator.Change{Label: &operator.LabelChange{VM: "w1", Set: map[string]string{"x": "1"}}})
		s.noError(err)
		s.noError(s.client("b").Admit(t.Context(), "c"))
		s.waitServing("a", "b", "c")
		v, err := s.client("c").VM(t.Context(), "w1")
		s.noError(err)
		if v.Labels["x"] != "1" {
			t.Errorf("labels on the admitted member: %v, want x=1", v.Labels)
		}
		// The admitted member has a vote: with it, a majority remains after the loss of another member.
		time.Sleep(3 * time.Second)
		s.kill("a")
		_, err = s.submitChange("b", &operator.Change{Label: &operator.LabelChange{VM: "w1", Set: map[string]string{"x": "2"}}})
		s.noError(err)
	})
}

// Of two changes based on the same revision only the first is accepted, and the first, when sent again, has its first answer.
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
			t.Errorf("second of two changes based on one revision: error %v, want code change-conflict", err)
		}
		// As if the first answer was lost, the operator sends the change again through each daemon after a change of leader.
		s.kill(s.status("a").Leader)
		for _, name := range s.names {
			if s.running[name] == nil {
				continue
			}
			resent, err := s.submitChange(name, change("one", 1))
			if err != nil || resent != first {
				t.Errorf("change sent again through %s: revision %d, error %v, want revision %d", name, resent, err, first)
			}
		}
	})
}

// A group with a member that is frozen for longer than the presence bound is not used, and serves in a new epoch once
// the member has resumed.
func TestFrozenMemberReturns(t *testing.T) {
	withTestCluster(t, []string{"d1: w1 w2"}, func(t *testing.T, s *testCluster) {
		s.createGroup("g", 2)
		before := s.group("a", "g")
		s.engines[before.Members[1]].Pause()
		time.Sleep(4 * time.Second)
		a := s.complete("a", "g", "while frozen", 3, map[string]string{caller.HeaderDeadline: "2s"})
		if a.code != fmt.Sprint(int(result.NoWholeGroup)) || s.runsOf("while frozen") != 0 {
			t.Errorf("request while a member is frozen: status %d, code %s, ran %d times; want no-whole-group, not run", a.status, a.code, s.runsOf("while frozen"))
		}
		s.engines[before.Members[1]].Resume()
		s.waitWhole("a", "g")
		if after := s.group("a", "g"); after.Epoch <= before.Epoch {
			t.Errorf("group serves in epoch %d, want one after %d", after.Epoch, before.Epoch)
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

// Two seconds after it is known that an upstream will leave, no new requests are sent there; those in progress complete.
func TestLeavingUpstream(t *testing.T) {
	for _, c := range []struct {
		name            string
		announceLeaving func(s *testCluster, vm ident.VM)
	}{
		{"announced by the engine", func(s *testCluster, vm ident.VM) { s.engines[vm].SetLeaving(true) }},
		{"listed by the platform", func(s *testCluster, vm ident.VM) { s.setPlatformStay(vm, vmlist.StateLeaving) }},
		{"drained by an operator", func(s *testCluster, vm ident.VM) {
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
					t.Errorf("a request was sent to the group of the leaving VM")
				}
				if a := <-inProgress; a.text != expectedText("long", 30) {
					t.Errorf("request in progress: status %d, code %s, error %v", a.status, a.code, a.err)
				}
				s.waitFor("served without the leaving VM", 30*time.Second, func() bool {
					g := s.group("a", "g")
					return g.Whole && !slices.Contains(g.Members, head)
				})
			})
		})
	}
}

// A daemon in a planned stop completes the request in progress and refuses new ones without running them.
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
			t.Errorf("request to the stopping daemon: status %d, code %s, not run %t; want stopping, not run", a.status, a.code, a.notRun)
		}
		if a := <-inProgress; a.text != expectedText("long", 20) {
			t.Errorf("request in progress: status %d, code %s, error %v", a.status, a.code, a.err)
		}
		<-stopped
		s.kill("b")
		if a := s.complete("a", "g", "elsewhere", 1, nil); a.status != 200 {
			t.Errorf("request to another daemon: status %d, code %s", a.status, a.code)
		}
	})
}

// The daemon that sent a not-repeatable call crashes. The call must not run twice when the caller sends it again through
// other daemons.
func TestAtMostOnceCallAfterDaemonCrash(t *testing.T) {
	for _, c := range []struct {
		name  string
		delay time.Duration
		kill  time.Duration
		want  []result.Code
	}{
		{"crash while the call runs", 3 * time.Second, time.Second, []result.Code{result.InProgress, result.OutcomeUnknown}},
		{"crash after the answer is stored", 100 * time.Millisecond, 2 * time.Second, []result.Code{result.OK}},
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
						t.Errorf("call sent again, %d: code %d, want one of %v: %s", i, code, c.want, a.text)
					}
					time.Sleep(5 * time.Second)
				}
				if n := s.service.RepeatedCalls(); n != 0 {
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
			t.Errorf("%d requests ran at once over all daemons, want 2 or 3 at a limit of 2", ran)
		}
	})
}

// All daemons together send an upstream no more requests a second than its limit, and use nearly all of that: one daemon
// grants a permit for each request.
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
		s.engines["w1"].RequestsPerSecond.Store(limit)
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
				t.Errorf("%s: %d requests in %v, want at most %d and at least 90%% of that", upstream, got[upstream], duration, maxArrived)
			}
		}
	})
}

// A daemon learns from cache events which engine holds a prompt that another daemon has sent.
func TestCacheEventsReachOtherDaemons(t *testing.T) {
	withTestCluster(t, []string{"d1: w1 w2 w3 w4 w5 w6"}, func(t *testing.T, s *testCluster) {
		for _, name := range []ident.Group{"g", "h", "i", "j", "k", "l"} {
			spec := fleet.GroupSpec{Name: name, Model: "model-g", Size: 1}
			_, err := s.submitChange("a", &operator.Change{Create: &spec})
			s.noError(err)
		}
		for _, runningVM := range s.names {
			for _, name := range []ident.Group{"g", "h", "i", "j", "k", "l"} {
				s.waitWhole(runningVM, name)
			}
		}
		prompt := strings.Repeat("a long common beginning ", 2000)
		if a := s.complete("a", "g", prompt, 2, nil); a.status != 200 {
			t.Fatalf("status %d, code %s", a.status, a.code)
		}
		first := s.vmThatRan(prompt)
		time.Sleep(12 * time.Second)
		// Prompts with the same prefix are sent to the same engine, also by daemons that did not send the first one.
		for i := range 10 {
			longer := prompt + fmt.Sprint(i)
			s.complete(s.names[i%3], "g", longer, 2, nil)
			if runningVM := s.vmThatRan(longer); runningVM != first {
				t.Errorf("prompt %d ran on %s through %s, the first one on %s", i, runningVM, s.names[i%3], first)
			}
		}
	})
}

// Metrics and logs report requests and groups, and contain neither keys nor prompts.
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
				t.Errorf("missing in metrics: %s\n%s", want, body)
			}
		}
		for _, line := range strings.Split(strings.TrimSpace(s.logText()), "\n") {
			if !json.Valid([]byte(line)) {
				t.Errorf("log line is not valid JSON: %s", line)
			}
		}
		for _, secret := range []string{s.customerKey, s.operatorKey, "secret prompt"} {
			if strings.Contains(s.logText()+string(body), secret) {
				t.Errorf("%q found in logs or metrics", secret)
			}
		}
		if requestFields := `"customer":"cust","class":"interactive","group":"g","epoch":`; !strings.Contains(s.logText(), requestFields) {
			t.Errorf("missing in logs: %s\n%s", requestFields, s.logText())
		}
	})
}

// The write deadline of one response must not apply to the next one on the same connection.
func TestWriteDeadlineEndsWithResponse(t *testing.T) {
	withTestCluster(t, []string{"d1: w1"}, func(t *testing.T, s *testCluster) {
		s.createGroup("g", 1)
		for _, c := range []struct {
			name, path, body string
			status           int
		}{
			{"completion", "/v1/completions", `{"model":"model-g","prompt":"p","max_tokens":2}`, 200},
			{"invalid request", "/v1/completions", `{`, 400},
			{"service call", "/services/" + serviceName + "/x", "b", 200},
			{"streamed completion", "/v1/completions", `{"model":"model-g","prompt":"p","max_tokens":2,"stream":true}`, 200},
		} {
			if a := s.send("a", c.path, c.body, nil); a.status != c.status || a.err != nil {
				t.Errorf("%s: status %d, error %v", c.name, a.status, a.err)
			}
			time.Sleep(40 * time.Second)
		}
	})
}
