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
	reportInterval    = time.Second
	readHeaderTimeout = 5 * time.Second
	bucketCount       = 20
)

// Meter is a root scope of metrics with its own registry, so that several daemons can run in one process.
type Meter struct {
	Scope    tally.Scope
	closer   io.Closer
	reporter prometheus.Reporter
}

// New returns a meter without metrics, and starts a goroutine that reports to the registry until Close.
func New() *Meter {
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry, OnRegisterError: func(error) {}})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "dunlinquay", CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: sanitizeOptions(), OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Meter{Scope: scope, closer: closer, reporter: reporter}
}

// sanitizeOptions returns rules that make names valid in Prometheus and keep dashes and dots in label values: a customer named office-1 must
// not appear as office_1.
func sanitizeOptions() *tally.SanitizeOptions {
	opts := prometheus.DefaultSanitizerOpts
	opts.ValueCharacters = tally.ValidCharacters{Ranges: tally.AlphanumericRange, Characters: []rune{'_', '-', '.'}}
	return &opts
}

// NewServer returns an HTTP server that serves the metrics on every path.
func (m *Meter) NewServer() *http.Server {
	return &http.Server{Handler: m.reporter.HTTPHandler(), ReadHeaderTimeout: readHeaderTimeout}
}

// Close stops the reporting goroutine.
func (m *Meter) Close() error {
	return m.closer.Close()
}

// DurationBuckets returns histogram buckets for durations from 1 ms to about 9 minutes.
func DurationBuckets() tally.Buckets {
	return tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, bucketCount)
}
