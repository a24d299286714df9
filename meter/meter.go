package meter

import (
	"io"
	"net/http"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

const (
	reportInterval = time.Second
	headerTime     = 5 * time.Second
	bucketCount    = 20
)

// Meter is a root scope of metrics with a registry of its own, so that several daemons may live in one process.
type Meter struct {
	Scope    tally.Scope
	closer   io.Closer
	reporter prometheus.Reporter
}

// New returns an empty meter; its goroutine reports until Close.
func New() *Meter {
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry, OnRegisterError: func(error) {}})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "dunlinquay", CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: sanitizer(), OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Meter{Scope: scope, closer: closer, reporter: reporter}
}

// sanitizer keeps names as Prometheus wants them, and values as they are: a customer called office-1 must not read office_1.
func sanitizer() *tally.SanitizeOptions {
	opts := prometheus.DefaultSanitizerOpts
	opts.ValueCharacters = tally.ValidCharacters{Ranges: tally.AlphanumericRange, Characters: []rune{'_', '-', '.'}}
	return &opts
}

// HTTP returns a server of the metrics.
func (m *Meter) HTTP() *http.Server {
	return &http.Server{Handler: m.reporter.HTTPHandler(), ReadHeaderTimeout: headerTime}
}

// Close ends the reporting goroutine.
func (m *Meter) Close() error {
	return m.closer.Close()
}

// Durations returns the buckets of histograms of durations, from 1 ms to about 9 minutes.
func Durations() tally.Buckets {
	return tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, bucketCount)
}
