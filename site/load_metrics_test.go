package site_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/relay"
	"github.com/dunlinquay/dunlinquay/result"
	"github.com/dunlinquay/dunlinquay/settings"
	"github.com/dunlinquay/dunlinquay/site"
	"github.com/dunlinquay/dunlinquay/siteload"
	"github.com/dunlinquay/dunlinquay/transport"
)

// checkMetrics checks that the metrics as Prometheus reads them have all lines that are wanted, and none that starts as an unwanted one.
func checkMetrics(t *testing.T, body string, wanted, unwanted []string) {
	t.Helper()
	for _, line := range wanted {
		if !strings.Contains(body, "\n"+line+"\n") {
			t.Errorf("missing in metrics: %s\n%s", line, body)
		}
	}
	for _, start := range unwanted {
		if strings.Contains(body, "\n"+start) {
			t.Errorf("in metrics: %s", start)
		}
	}
}

// Guards against names that the runbook does not have, and against a former leader whose last numbers are added to those of the next one.
func TestLoadMetrics(t *testing.T) {
	summary := func(waiting int, rate float64) *siteload.Summary {
		return &siteload.Summary{Queues: []siteload.QueueSummary{{Key: siteload.Key{Service: "chat", Model: "large-1"}, Levels: []siteload.LevelSummary{
			{Urgency: 1002, Waiting: waiting, ArrivalRate: rate, SendRate: 2 * rate, RefusalRate: 3 * rate},
		}}}}
	}
	const labels = `{model="large-1",service="chat",urgency="1002"} `
	names := []string{"load_waiting_requests", "load_arrivals_per_second", "load_sends_per_second", "load_refusals_per_second"}
	for _, tt := range []struct {
		name      string
		summaries []*siteload.Summary
		want      [4]string
	}{
		{"the leader's sums", []*siteload.Summary{summary(3, 1.5)}, [4]string{"3", "1.5", "3", "4.5"}},
		{"newer sums", []*siteload.Summary{summary(30, 15), summary(4, 0.5)}, [4]string{"4", "0.5", "1", "1.5"}},
		{"the leadership has ended", []*siteload.Summary{summary(3, 1.5), {}}, [4]string{"0", "0", "0", "0"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var want []string
			for i, name := range names {
				want = append(want, "dunlinquay_"+name+labels+tt.want[i])
			}
			checkMetrics(t, site.PublishedLoad(tt.summaries...), want, nil)
		})
	}
}

// Guards against memory that grows with the urgencies of a configuration that changes again and again, and against requests that no metric
// counts then.
func TestLoadMetricsAreBounded(t *testing.T) {
	const urgencies = 2000
	queue := siteload.QueueSummary{Key: siteload.Key{Service: "chat", Model: "large"}}
	for u := range urgencies {
		queue.Levels = append(queue.Levels, siteload.LevelSummary{Urgency: siteload.Urgency(u), Waiting: 1})
	}
	body := site.PublishedLoad(&siteload.Summary{Queues: []siteload.QueueSummary{queue}})
	if got := strings.Count(body, "\ndunlinquay_load_waiting_requests{"); got != 513 {
		t.Errorf("%d series, want 512 and one for all others", got)
	}
	checkMetrics(t, body, []string{fmt.Sprintf(`dunlinquay_load_waiting_requests{model="other",service="other",urgency="other"} %d`, urgencies-512)}, nil)
}

// Guards against refusals that no metric counts by urgency, against ones that count failures as refusals, and against unbounded series.
func TestRefusedRequestsMetric(t *testing.T) {
	entry := newMetricsEntry()
	observe := func(class ident.Class, urgency siteload.Urgency, code result.Code, n int) {
		for range n {
			entry.Observe(&relay.Record{Route: class, Urgency: urgency, Code: code, Status: result.Lookup(code).Status})
		}
	}
	observe("summary", 1002, result.Overloaded, 3)
	observe("summary", 0, result.NoWholeGroup, 2)
	observe("summary", 1002, result.OK, 5)
	observe("draft", 1002, result.UpstreamFailed, 4)
	observe("draft", 1002, result.Unauthorized, 4)
	for u := range 600 {
		observe("batch", siteload.Urgency(u), result.Overloaded, 1)
	}
	body := entry.Metrics()
	checkMetrics(t, body, []string{
		`dunlinquay_refused_requests{class="summary",code="2006",result="overloaded",urgency="1002"} 3`,
		`dunlinquay_refused_requests{class="summary",code="2008",result="no-whole-group",urgency="0"} 2`,
		`dunlinquay_refused_requests{class="other",code="2006",result="overloaded",urgency="other"} 90`,
	}, []string{`dunlinquay_refused_requests{class="draft"`, `dunlinquay_refused_requests{class="summary",code="0"`})
}

// Guards against requests whose lines do not show that upstreams were avoided.
func TestRequestLineHasSuspectTargets(t *testing.T) {
	entry := newMetricsEntry()
	var line string
	entry.RequestLog = funcr.NewJSON(func(obj string) { line = obj }, funcr.Options{})
	entry.Observe(&relay.Record{ID: "1", Targets: 12, SuspectTargets: 5})
	if want := `"targets":12,"suspect-targets":5`; !strings.Contains(line, want) {
		t.Errorf("%s has no %s", line, want)
	}
}

// Guards against decisions of the retry budget that neither a metric nor the request line shows.
func TestRetryDecisionsAreObservable(t *testing.T) {
	entry := newMetricsEntry()
	var line string
	entry.RequestLog = funcr.NewJSON(func(obj string) { line = obj }, funcr.Options{})
	entry.Observe(&relay.Record{ID: "1", RetryDecisions: []relay.RetryDecision{
		{Allowed: true, Requests: 40, Retries: 2, Limit: 3.5, Entries: 8}, {Requests: 41, Retries: 3, Limit: 3.7, Entries: 8},
	}})
	var got struct {
		RetryBudget []relay.RetryDecision `json:"retry-budget"`
	}
	if err := json.Unmarshal([]byte(line), &got); err != nil {
		t.Fatalf("%q: %v", line, err)
	}
	want := []relay.RetryDecision{{Allowed: true, Requests: 40, Retries: 2, Limit: 3.5, Entries: 8}, {Requests: 41, Retries: 3, Limit: 3.7, Entries: 8}}
	if diff := cmp.Diff(want, got.RetryBudget); diff != "" {
		t.Errorf("decisions in the request line (-want +got):\n%s", diff)
	}
	checkMetrics(t, entry.Metrics(), []string{
		`dunlinquay_retry_decisions{decision="allowed"} 1`, `dunlinquay_retry_decisions{decision="denied"} 1`, `dunlinquay_retry_budget_entries 8`,
	}, nil)
}

// newMetricsEntry returns an entry that is not run.
func newMetricsEntry() *site.Entry {
	cfg := settings.DefaultSite()
	return site.NewEntry(&cfg, relay.HeaderNames{}, transport.TCP())
}

// Guards against a request line without the fields that the runbook leads to, and against one that shows a site without waiting requests
// where nothing was known of it.
func TestRequestLineHasQueueFields(t *testing.T) {
	for _, tt := range []struct {
		name string
		site *relay.SiteQueue
		want map[string]any
	}{
		{"sums were known", &relay.SiteQueue{Waiting: 12, SendRate: 9.26, Age: 340 * time.Millisecond}, map[string]any{
			"urgency": 1002.0, "queued-ms": 85.0, "site-waiting": 12.0, "site-rate": 9.3, "site-age-ms": 340.0,
		}},
		{"nothing was known", nil, map[string]any{"urgency": 1002.0, "queued-ms": 85.0}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			entry := newMetricsEntry()
			var line string
			entry.RequestLog = funcr.NewJSON(func(obj string) { line = obj }, funcr.Options{})
			entry.Observe(&relay.Record{ID: "1", Code: result.Overloaded, Status: http.StatusServiceUnavailable, Urgency: 1002, Queued: 85 * time.Millisecond, Site: tt.site})
			var fields map[string]any
			if err := json.Unmarshal([]byte(line), &fields); err != nil {
				t.Fatalf("%q: %v", line, err)
			}
			got := map[string]any{}
			for _, name := range []string{"urgency", "queued-ms", "site-waiting", "site-rate", "site-age-ms"} {
				if value, ok := fields[name]; ok {
					got[name] = value
				}
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("fields (-want +got):\n%s", diff)
			}
		})
	}
}
