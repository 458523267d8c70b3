// Package metrics records request counts and latencies by tenant and class, and process gauges, and
// exports them in the Prometheus text format.
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

// flushInterval is the interval at which tally flushes counts to its reporter.
const flushInterval = 500 * time.Millisecond

// Bucket bounds of the latency histograms.
var (
	ttftBuckets = tally.DurationBuckets{
		10 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
		200 * time.Millisecond, 400 * time.Millisecond, 720 * time.Millisecond, 1 * time.Second,
		2 * time.Second, 5 * time.Second, 10 * time.Second, 30 * time.Second,
	}
	itlBuckets = tally.DurationBuckets{
		5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond, 33 * time.Millisecond,
		50 * time.Millisecond, 100 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second,
	}
)

// Metrics holds the metrics of an instance. It is safe for concurrent use.
type Metrics struct {
	scope   tally.Scope
	closer  io.Closer
	handler http.Handler
}

// New returns an empty set of metrics with a registry of its own.
func New() *Metrics {
	registry := prometheus.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "hickoryridge", Separator: tallyprom.DefaultSeparator, CachedReporter: reporter,
		OmitCardinalityMetrics: true,
	}, flushInterval)
	return &Metrics{scope: scope, closer: closer, handler: reporter.HTTPHandler()}
}

// Close flushes the metrics and stops reporting.
func (m *Metrics) Close() error { return m.closer.Close() }

// Handler returns a handler that serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler { return m.handler }

func (m *Metrics) requestScope(t ident.TenantID, c ident.ClassID) tally.Scope {
	return m.scope.Tagged(map[string]string{"tenant": string(t), "class": string(c)})
}

// TimeToFirstToken records the time to the first token, or to the response of a plain service.
func (m *Metrics) TimeToFirstToken(t ident.TenantID, c ident.ClassID, d time.Duration) {
	m.requestScope(t, c).Histogram("first", ttftBuckets).RecordDuration(d)
}

// InterTokenLatency records the time between two successive tokens.
func (m *Metrics) InterTokenLatency(t ident.TenantID, c ident.ClassID, d time.Duration) {
	m.requestScope(t, c).Histogram("between", itlBuckets).RecordDuration(d)
}

// Answered counts a finished request by its result code.
func (m *Metrics) Answered(t ident.TenantID, c ident.ClassID, code string) {
	m.scope.Tagged(map[string]string{"tenant": string(t), "class": string(c), "code": code}).Counter("answered").Inc(1)
}

// Count increments a counter that has no labels.
func (m *Metrics) Count(name string) { m.scope.Counter(name).Inc(1) }

// CountBy adds n to a counter that has no labels.
func (m *Metrics) CountBy(name string, n int) { m.scope.Counter(name).Inc(int64(n)) }

// Gauge sets a gauge that has no labels.
func (m *Metrics) Gauge(name string, v float64) { m.scope.Gauge(name).Update(v) }
