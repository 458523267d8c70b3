package e2e

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/hickoryridge/hickoryridge/internal/standin"
)

// TestAnswersAreWholeAndTheirOwn injects faults into the responses of two engines: an error status,
// a truncated stream, a stream without its end marker, a chunk with the ID of another request, and
// duplicated chunks. Every caller must still receive the complete response to its own request. The
// names of the faults are part of the prompts.
func TestAnswersAreWholeAndTheirOwn(t *testing.T) {
	c := newCluster(t, 3, 3, false)
	c.addTargets(3, 1, standin.EngineConfig{Speed: 20})
	c.bootstrap()
	for name, fault := range map[string]standin.Fault{
		"broken off":        {Count: 1, CutAfter: 5},
		"broken at once":    {Count: 1, Refuse: http.StatusInternalServerError},
		"without its end":   {Count: 1, NoEnd: true},
		"crossed":           {Count: 1, Cross: true},
		"every chunk twice": {Count: 1, Duplicate: true},
	} {
		t.Run(name, func(t *testing.T) {
			for _, e := range c.engines[:2] { // the third engine has no fault
				e.SetFault(fault)
			}
			// An engine that failed is skipped for a while, so several requests are needed
			// until both engines have produced their fault.
			sent := 0
			c.await("both engines to produce their fault", func() bool {
				sent++
				if err := c.chat(sent%3, fmt.Sprint(name, " question ", sent), 12); err != nil {
					t.Error(err)
				}
				return c.engines[0].FaultsLeft()+c.engines[1].FaultsLeft() == 0
			})
		})
	}
}

// TestEngineCrashUnderStreams crashes an engine while it streams responses. Each stream must
// continue at another engine without a gap.
func TestEngineCrashUnderStreams(t *testing.T) {
	c := newCluster(t, 3, 3, false)
	c.addTargets(3, 1, standin.EngineConfig{Speed: 2})
	c.bootstrap()
	const streams = 6
	results := make(chan error, streams)
	for i := range streams {
		go func() { results <- c.chat(i%3, fmt.Sprint("question ", i), 80) }()
	}
	c.await("streams in progress", func() bool { return runningRequests(c) == streams })
	c.engines[0].Close()
	for range streams {
		if err := <-results; err != nil {
			t.Error(err)
		}
	}
}

// TestAnswerStaysAtSoftwareVersion cuts answers at engines of two software versions, one of each. An answer
// must go on at the version that began it, although the other engine is idle.
func TestAnswerStaysAtSoftwareVersion(t *testing.T) {
	c := newCluster(t, 3, 3, false)
	c.addTargets(1, 1, standin.EngineConfig{Speed: 20, Software: "v1"})
	c.addTargets(1, 0, standin.EngineConfig{Speed: 20, Software: "v2"})
	c.bootstrap()
	for n := range 6 {
		for _, e := range c.engines {
			e.SetFault(standin.Fault{Count: 1, CutAfter: 5})
		}
		before := []int{c.engines[0].Served(), c.engines[1].Served()}
		if err := c.chat(n%3, fmt.Sprint("question ", n), 12); err != nil {
			t.Error(err)
		}
		first, second := c.engines[0].Served()-before[0], c.engines[1].Served()-before[1]
		if first+second != 2 || first == 1 {
			t.Errorf("question %d was sent to v1 %d times and to v2 %d times, want twice to one of them", n, first, second)
		}
		for _, e := range c.engines {
			e.SetFault(standin.Fault{})
		}
	}
}
