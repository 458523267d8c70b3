// Package metrics counts what an instance does, by tenant and class, and serves
// the counts as Prometheus text.
package metrics

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"

	"github.com/hickoryridge/hickoryridge/ident"
)

// flushEvery is the interval at which tally hands counts to its reporter.
const flushEvery = 500 * time.Millisecond

// Bounds of the histograms.
var (
	firstBuckets = tally.DurationBuckets{
		10 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
		200 * time.Millisecond, 400 * time.Millisecond, 720 * time.Millisecond, 1 * time.Second,
		2 * time.Second, 5 * time.Second, 10 * time.Second, 30 * time.Second,
	}
	betweenBuckets = tally.DurationBuckets{
		5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond, 33 * time.Millisecond,
		50 * time.Millisecond, 100 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second,
	}
)

// Metrics is the set of an instance's metrics. It is safe for concurrent use.
type Metrics struct {
	scope   tally.Scope
	closer  io.Closer
	handler http.Handler
}

// New returns the metrics of one process.
func New() *Metrics {
	registry := prometheus.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "hickoryridge", Separator: tallyprom.DefaultSeparator, CachedReporter: reporter,
		OmitCardinalityMetrics: true,
	}, flushEvery)
	return &Metrics{scope: scope, closer: closer, handler: reporter.HTTPHandler()}
}

// Close flushes the metrics.
func (m *Metrics) Close() error { return m.closer.Close() }

// Handler serves the metrics as Prometheus text.
func (m *Metrics) Handler() http.Handler { return m.handler }

func (m *Metrics) request(t ident.TenantID, c ident.ClassID) tally.Scope {
	return m.scope.Tagged(map[string]string{"tenant": string(t), "class": string(c)})
}

// TimeToFirstToken records the time to the first token, or to a plain answer.
func (m *Metrics) TimeToFirstToken(t ident.TenantID, c ident.ClassID, d time.Duration) {
	m.request(t, c).Histogram("first", firstBuckets).RecordDuration(d)
}

// InterTokenLatency records the time between two tokens.
func (m *Metrics) InterTokenLatency(t ident.TenantID, c ident.ClassID, d time.Duration) {
	m.request(t, c).Histogram("between", betweenBuckets).RecordDuration(d)
}

// Answered counts the end of a request under its code.
func (m *Metrics) Answered(t ident.TenantID, c ident.ClassID, code string) {
	m.scope.Tagged(map[string]string{"tenant": string(t), "class": string(c), "code": code}).Counter("answered").Inc(1)
}

// Count adds one to a counter of the process.
func (m *Metrics) Count(name string) { m.scope.Counter(name).Inc(1) }

// Gauge sets a value of the process.
func (m *Metrics) Gauge(name string, v float64) { m.scope.Gauge(name).Update(v) }
