package e2e

import (
	"fmt"
	"net/http"
	"os"
	"sort"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/internal/standin"
)

// median sorts v and returns its middle element.
func median(v []float64) float64 {
	sort.Float64s(v)
	return v[len(v)/2]
}

// BenchmarkApplyInForce measures the time from sending a document until it is in force on nine
// instances, first with all of them healthy, then with one partitioned and one suspended.
func BenchmarkApplyInForce(b *testing.B) {
	const rounds = 10
	c := newCluster(b, 9, 5, true)
	c.bootstrap()
	measure := func(through int) float64 {
		began := time.Now()
		c.apply(through)
		return time.Since(began).Seconds() * 1000
	}
	var healthy []float64
	for range rounds {
		healthy = append(healthy, measure(0))
	}
	leader := c.leader(0)
	partitioned := c.otherThan(leader, 0)
	suspended := c.otherThan(leader, 0, partitioned)
	var degraded []float64
	for range 5 {
		c.isolate(partitioned, true)
		c.signal(suspended, syscall.SIGSTOP)
		degraded = append(degraded, measure(c.otherThan(partitioned, suspended)))
		c.isolate(partitioned, false)
		c.signal(suspended, syscall.SIGCONT)
		c.awaitReady(partitioned)
		c.awaitReady(suspended)
	}
	for b.Loop() {
		// The measurement above runs a fixed number of times.
	}
	b.ReportMetric(median(healthy), "well-ms")
	b.ReportMetric(median(degraded), "cut+frozen-ms")
	b.ReportMetric(degraded[len(degraded)-1], "cut+frozen-max-ms")
}

// BenchmarkLeaderLoss measures the time from killing the leader until the next document is in
// force.
func BenchmarkLeaderLoss(b *testing.B) {
	var took []float64
	for range 5 {
		c := newCluster(b, 3, 3, false)
		c.bootstrap()
		leader := c.leader(0)
		through := c.otherThan(leader)
		began := time.Now()
		c.kill(leader)
		c.apply(through)
		took = append(took, time.Since(began).Seconds()*1000)
		c.close()
	}
	for b.Loop() {
		// The measurement above runs a fixed number of times.
	}
	b.ReportMetric(median(took), "p50-ms")
	b.ReportMetric(took[len(took)-1], "max-ms")
}

// BenchmarkLeavingTarget measures how long any instance still considers a target usable after the
// target withdraws, and after it stops announcing itself without withdrawing.
func BenchmarkLeavingTarget(b *testing.B) {
	c := newCluster(b, 3, 3, false)
	c.addTargets(2, 1, standin.EngineConfig{Speed: 20})
	c.bootstrap()
	unused := func(id string) float64 {
		began := time.Now()
		c.await("the target to become unusable at every instance", func() bool {
			return !targetUsable(c, 0, id) && !targetUsable(c, 1, id) && !targetUsable(c, 2, id)
		})
		return time.Since(began).Seconds() * 1000
	}
	c.withdraw[0]()
	withdrawn := unused("engine-1")
	c.announcers[1].Controls = nil // sends no further announcement
	silent := unused("engine-2")
	for b.Loop() {
		// The measurement above runs once.
	}
	b.ReportMetric(withdrawn, "left-ms")
	b.ReportMetric(silent, "silent-ms")
}

// processUsage returns the CPU time of a process and the number of bytes that it has read and
// written.
func processUsage(pid int) (cpu time.Duration, bytes int64) {
	stat, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	const tick = 10 * time.Millisecond // clock ticks of /proc at the usual USER_HZ of 100
	io, _ := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	for line := range strings.SplitSeq(string(io), "\n") {
		name, value, _ := strings.Cut(line, ": ")
		if name == "rchar" || name == "wchar" {
			n, _ := strconv.ParseInt(value, 10, 64)
			bytes += n
		}
	}
	return time.Duration(user+system) * tick, bytes
}

// residentMiB returns the resident memory of a process in MiB, for pages of 4096 bytes.
func residentMiB(pid int) float64 {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	pages, _ := strconv.ParseFloat(strings.Fields(string(data))[1], 64)
	return pages * 4096 / (1 << 20)
}

// BenchmarkIdle measures the CPU, I/O and memory use of an idle instance with twelve targets, in
// clusters of three and of nine instances.
func BenchmarkIdle(b *testing.B) {
	for _, n := range []int{3, 9} {
		b.Run(fmt.Sprint("instances=", n), func(b *testing.B) {
			c := newCluster(b, n, min(n, 5), false)
			c.addTargets(9, 3, standin.EngineConfig{Speed: 20})
			c.bootstrap()
			leader := c.leader(0)
			const span = 8 * time.Second
			type use struct {
				cpu   time.Duration
				bytes int64
			}
			before := make([]use, n)
			for i, nd := range c.nodes {
				before[i].cpu, before[i].bytes = processUsage(nd.cmd.Process.Pid)
			}
			time.Sleep(span)
			var followers, leading use
			for i, nd := range c.nodes {
				cpu, bytes := processUsage(nd.cmd.Process.Pid)
				u := use{cpu - before[i].cpu, bytes - before[i].bytes}
				if i == leader {
					leading = u
				} else {
					followers.cpu += u.cpu
					followers.bytes += u.bytes
				}
			}
			for b.Loop() {
				// The measurement above runs once.
			}
			count := float64(n - 1)
			b.ReportMetric(100*followers.cpu.Seconds()/span.Seconds()/count, "%core")
			b.ReportMetric(float64(followers.bytes)/1000/span.Seconds()/count, "KB/s")
			b.ReportMetric(100*leading.cpu.Seconds()/span.Seconds(), "leader-%core")
			b.ReportMetric(float64(leading.bytes)/1000/span.Seconds(), "leader-KB/s")
			b.ReportMetric(residentMiB(c.nodes[leader].cmd.Process.Pid), "leader-MB")
		})
	}
}

// BenchmarkRestartAfterChanges measures how long all voters take to restart after 500 document
// changes.
func BenchmarkRestartAfterChanges(b *testing.B) {
	c := newCluster(b, 3, 3, false)
	c.bootstrap()
	for range 500 {
		c.apply(0)
	}
	for i := range c.nodes {
		c.kill(i)
	}
	began := time.Now()
	for i := range c.nodes {
		c.start(i)
	}
	var up []float64
	for i := range c.nodes {
		c.await("the instance to respond to health checks", func() bool {
			return do(http.MethodGet, c.controlURL(i)+"/healthz", nil, nil).status == http.StatusOK
		})
		up = append(up, time.Since(began).Seconds()*1000)
	}
	for i := range c.nodes {
		c.awaitReady(i)
	}
	ready := time.Since(began).Seconds() * 1000
	for b.Loop() {
		// The measurement above runs once.
	}
	b.ReportMetric(up[len(up)-1], "loaded-ms")
	b.ReportMetric(ready, "ready-ms")
}

// BenchmarkRefusal measures the time until a rate-limited request is rejected, including the time
// to connect.
func BenchmarkRefusal(b *testing.B) {
	c := newCluster(b, 3, 3, false)
	c.addTargets(1, 1, standin.EngineConfig{Speed: 20})
	c.bootstrap()
	for i := range c.document.Tenants {
		c.document.Tenants[i].Limit = desired.TenantLimit{Rate: 1, Burst: 1}
	}
	c.apply(0)
	var took []float64
	for i := range 300 {
		began := time.Now()
		a := do(http.MethodPost, c.callersURL(i%3)+"/v1/chat/completions", nil, chatBody("question", 2))
		if a.status == http.StatusTooManyRequests {
			took = append(took, time.Since(began).Seconds()*1000)
		}
	}
	for b.Loop() {
		// The measurement above runs a fixed number of times.
	}
	sort.Float64s(took)
	b.ReportMetric(float64(len(took)), "refusals")
	b.ReportMetric(took[len(took)/2], "p50-ms")
	b.ReportMetric(took[len(took)*99/100], "p99-ms")
}
