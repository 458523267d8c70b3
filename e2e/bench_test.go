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

func median(v []float64) float64 {
	sort.Float64s(v)
	return v[len(v)/2]
}

// BenchmarkApplyInForce measures the time from sending a document to its being in
// force on nine instances: all well, and with one cut off and one frozen.
func BenchmarkApplyInForce(b *testing.B) {
	const rounds = 10
	c := newCluster(b, 9, 5, true)
	c.up()
	measure := func(through int) float64 {
		began := time.Now()
		c.apply(through)
		return time.Since(began).Seconds() * 1000
	}
	var well []float64
	for range rounds {
		well = append(well, measure(0))
	}
	leader := c.leader(0)
	cut := c.other(leader, 0)
	frozen := c.other(leader, 0, cut)
	var hurt []float64
	for range 5 {
		c.isolate(cut, true)
		c.signal(frozen, syscall.SIGSTOP)
		hurt = append(hurt, measure(c.other(cut, frozen)))
		c.isolate(cut, false)
		c.signal(frozen, syscall.SIGCONT)
		c.awaitReady(cut)
		c.awaitReady(frozen)
	}
	for b.Loop() {
		// Measured above, a fixed number of times.
	}
	b.ReportMetric(median(well), "well-ms")
	b.ReportMetric(median(hurt), "cut+frozen-ms")
	b.ReportMetric(hurt[len(hurt)-1], "cut+frozen-max-ms")
}

// BenchmarkLeaderLoss measures the time from killing the leader to the next
// document in force.
func BenchmarkLeaderLoss(b *testing.B) {
	var took []float64
	for range 5 {
		c := newCluster(b, 3, 3, false)
		c.up()
		leader := c.leader(0)
		through := c.other(leader)
		began := time.Now()
		c.kill(leader)
		c.apply(through)
		took = append(took, time.Since(began).Seconds()*1000)
		c.close()
	}
	for b.Loop() {
		// Measured above, a fixed number of times.
	}
	b.ReportMetric(median(took), "p50-ms")
	b.ReportMetric(took[len(took)-1], "max-ms")
}

// BenchmarkLeavingTarget measures the time from a target's leave, and from its
// silence, to the last moment at which any instance would use it.
func BenchmarkLeavingTarget(b *testing.B) {
	c := newCluster(b, 3, 3, false)
	c.addTargets(2, 1, standin.EngineConfig{Speed: 20})
	c.up()
	unused := func(id string) float64 {
		began := time.Now()
		c.await("the target to be out of use", func() bool {
			return !usableTarget(c, 0, id) && !usableTarget(c, 1, id) && !usableTarget(c, 2, id)
		})
		return time.Since(began).Seconds() * 1000
	}
	c.leave[0]()
	left := unused("engine-1")
	c.announcers[1].Controls = nil // says nothing more
	silent := unused("engine-2")
	for b.Loop() {
		// Measured above, once.
	}
	b.ReportMetric(left, "left-ms")
	b.ReportMetric(silent, "silent-ms")
}

// usage returns the CPU time and the bytes that a process has read and written.
func usage(pid int) (cpu time.Duration, bytes int64) {
	stat, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	const tick = 10 * time.Millisecond
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

func resident(pid int) float64 {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	pages, _ := strconv.ParseFloat(strings.Fields(string(data))[1], 64)
	return pages * 4096 / (1 << 20)
}

// BenchmarkIdle measures what an idle instance costs, with twelve targets, among
// three and among nine instances.
func BenchmarkIdle(b *testing.B) {
	for _, n := range []int{3, 9} {
		b.Run(fmt.Sprint("instances=", n), func(b *testing.B) {
			c := newCluster(b, n, min(n, 5), false)
			c.addTargets(9, 3, standin.EngineConfig{Speed: 20})
			c.up()
			leader := c.leader(0)
			const span = 8 * time.Second
			type use struct {
				cpu   time.Duration
				bytes int64
			}
			before := make([]use, n)
			for i, nd := range c.nodes {
				before[i].cpu, before[i].bytes = usage(nd.cmd.Process.Pid)
			}
			time.Sleep(span)
			var others, leads use
			for i, nd := range c.nodes {
				cpu, bytes := usage(nd.cmd.Process.Pid)
				u := use{cpu - before[i].cpu, bytes - before[i].bytes}
				if i == leader {
					leads = u
				} else {
					others.cpu += u.cpu
					others.bytes += u.bytes
				}
			}
			for b.Loop() {
				// Measured above, once.
			}
			each := float64(n - 1)
			b.ReportMetric(100*others.cpu.Seconds()/span.Seconds()/each, "%core")
			b.ReportMetric(float64(others.bytes)/1000/span.Seconds()/each, "KB/s")
			b.ReportMetric(100*leads.cpu.Seconds()/span.Seconds(), "leader-%core")
			b.ReportMetric(float64(leads.bytes)/1000/span.Seconds(), "leader-KB/s")
			b.ReportMetric(resident(c.nodes[leader].cmd.Process.Pid), "leader-MB")
		})
	}
}

// BenchmarkRestartAfterChanges measures the restart of all voters after 500 changes.
func BenchmarkRestartAfterChanges(b *testing.B) {
	c := newCluster(b, 3, 3, false)
	c.up()
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
		c.await("the instance to answer", func() bool {
			return do(http.MethodGet, c.control(i)+"/healthz", nil, nil).status == http.StatusOK
		})
		up = append(up, time.Since(began).Seconds()*1000)
	}
	for i := range c.nodes {
		c.awaitReady(i)
	}
	ready := time.Since(began).Seconds() * 1000
	for b.Loop() {
		// Measured above, once.
	}
	b.ReportMetric(up[len(up)-1], "loaded-ms")
	b.ReportMetric(ready, "ready-ms")
}

// BenchmarkRefusal measures the time of a refusal, connection included.
func BenchmarkRefusal(b *testing.B) {
	c := newCluster(b, 3, 3, false)
	c.addTargets(1, 1, standin.EngineConfig{Speed: 20})
	c.up()
	for i := range c.document.Tenants {
		c.document.Tenants[i].Limit = desired.TenantLimit{Rate: 1, Burst: 1}
	}
	c.apply(0)
	var took []float64
	for i := range 300 {
		began := time.Now()
		a := do(http.MethodPost, c.callers(i%3)+"/v1/chat/completions", nil, chatBody("question", 2))
		if a.status == http.StatusTooManyRequests {
			took = append(took, time.Since(began).Seconds()*1000)
		}
	}
	for b.Loop() {
		// Measured above, a fixed number of times.
	}
	sort.Float64s(took)
	b.ReportMetric(float64(len(took)), "refusals")
	b.ReportMetric(took[len(took)/2], "p50-ms")
	b.ReportMetric(took[len(took)*99/100], "p99-ms")
}
