package fact

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/cluster/quarantine"
	"github.com/hickoryridge/hickoryridge/internal/cluster/stream"
	"github.com/hickoryridge/hickoryridge/internal/modeltest"
	"github.com/hickoryridge/hickoryridge/internal/net/fields"
)

// peakStreams is the number of streams that begin in a second at the planned peak.
const peakStreams = 5100

func streamBatch(n int) Batch {
	return Batch{Streams: []stream.Begun{{Origin: stream.Origin{Service: "advisor", Software: "v1.1"}, Left: stream.MinRetention, Keys: []stream.Key{stream.KeyOf(fmt.Sprint(n))}}}}
}

// BenchmarkStreams records streams at a voter that are published one by one, at the planned peak, and reports the
// memory that they take and the size of one on the wire.
func BenchmarkStreams(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	c := NewCollector(modeltest.Start, 1)
	n := 0
	for b.Loop() {
		c.Publish(modeltest.Start.Add(time.Duration(n)*time.Second/peakStreams), "i", "boot", Sequence(n+1), streamBatch(n))
		n++
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(c.StreamCount()), "streams")
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MB")
	var wire bytes.Buffer
	if err := fields.NewEncoder(&wire).Encode(streamBatch(1)); err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(wire.Len()), "B/published")
	runtime.KeepAlive(c)
}

// BenchmarkDerive determines the suspects after a failure domain with 353 engines has gone, each with 20 requests
// that had two shared parts.
func BenchmarkDerive(b *testing.B) {
	c := NewCollector(modeltest.Start, 1)
	for e := range 353 {
		for r := range 20 {
			var report quarantine.Report
			for depth, id := range []string{fmt.Sprint("first", r%4), fmt.Sprint("second", (e*20+r)%5000)} {
				report.Crashed = append(report.Crashed, quarantine.Crashed{Part: quarantine.Part{Service: "s", ID: id}, Crash: quarantine.Crash{Target: ident.TargetID(fmt.Sprint(e)), Incarnation: 1}, Depth: depth})
			}
			c.Publish(modeltest.Start, "i", "boot", 1, Batch{Evidence: report})
		}
	}
	now := modeltest.Start
	for b.Loop() {
		now = now.Add(time.Second + deriveInterval)
		c.Derive(now, silent)
	}
}
