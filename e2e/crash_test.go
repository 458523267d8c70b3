package e2e

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/internal/standin"
)

// TestCrashingRequestIsRefused guards against a request of the project's own interface that crashes one replica
// of a plain service after the other. Every instance refuses it, and serves others.
func TestCrashingRequestIsRefused(t *testing.T) {
	c := newCluster(t, 3, 3, false)
	c.addTargets(0, 3, standin.EngineConfig{})
	c.bootstrap()
	get := func(in int, path string) response {
		return do(http.MethodGet, c.callersURL(in)+"/services/desk/"+path, nil, nil)
	}
	refusal := func(r response) bool {
		return r.status == http.StatusServiceUnavailable && strings.Contains(string(r.body), "part_quarantined")
	}
	refused := func(in int) bool { return refusal(get(in, "crash")) }
	for in := range c.nodes {
		c.await("the request to be refused", func() bool { return refused(in) })
	}
	crashes := func() int {
		total := 0
		for _, s := range c.services {
			n, _ := s.Crashes()
			total += n
		}
		return total
	}
	before := crashes()
	if before < 3 {
		t.Errorf("%d crashes before the request was refused, want at least 3", before)
	}
	c.await("all replicas to be back", func() bool { return c.servicesDown() == 0 })
	for in := range c.nodes { // each has to hear of the replicas that are back
		c.await("other requests to be served", func() bool { return get(in, "postage/TT-1").status == http.StatusOK })
	}
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for in := range c.nodes {
			if r := get(in, "crash"); !refusal(r) {
				t.Fatalf("instance %d no longer refuses the request: %d %s, %v", in, r.status, r.body, r.err)
			}
			if r := get(in, "postage/TT-1"); r.status != http.StatusOK {
				t.Errorf("instance %d answers another request %d %s; %d replicas are down", in, r.status, r.body, c.servicesDown())
			}
		}
	}
	if after := crashes(); after != before {
		t.Errorf("%d more crashes while the request was refused", after-before)
	}
	t.Logf("%d crashes", before)
}

// servicesDown returns the number of services that have crashed and are not back.
func (c *cluster) servicesDown() int {
	n := 0
	for _, s := range c.services {
		if _, down := s.Crashes(); down {
			n++
		}
	}
	return n
}
