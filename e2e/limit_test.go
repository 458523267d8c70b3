package e2e

import (
	"fmt"
	"net/http"
	"regexp"
	"sync"
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/limittest"
	"github.com/hickoryridge/hickoryridge/internal/standin"
)

// TestLimitKeptWhenLeaderIsLost names rate limits at an engine and at a service, and kills and
// restarts the leader, which grants the permits, under load. No target may get more than its limit
// allows, and the other targets must serve the rest.
func TestLimitKeptWhenLeaderIsLost(t *testing.T) {
	const (
		limit    ident.RequestsPerSecond = 8
		interval                         = 25 * time.Millisecond // between two requests of each kind
	)
	c := newCluster(t, 3, 3, false)
	c.addTargets(3, 3, standin.EngineConfig{Speed: 20})
	c.bootstrap()
	lost := c.leader(0)
	through := []int{c.otherThan(lost), c.otherThan(lost, c.otherThan(lost))}
	// Targets are numbered by region like the instances: these are in the region of one that serves.
	engine, service := c.engines[through[0]], c.services[through[0]]
	rate := limit
	engine.Limit.Set(&rate)
	service.Limit.Set(&rate)
	binds := time.Now().Add(limittest.Settle)
	var wg sync.WaitGroup
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var mu sync.Mutex
	served := map[string]int{}
	count := func(kind string, ok bool) {
		mu.Lock()
		defer mu.Unlock()
		served[kind+" sent"]++
		if ok {
			served[kind]++
		}
	}
	for n := 0; time.Now().Before(binds.Add(limittest.Window + 2*time.Second)); n++ {
		<-ticker.C
		switch n {
		case 60:
			c.kill(lost)
		case 140:
			c.start(lost)
		}
		in := through[n%len(through)]
		wg.Go(func() { count("chat", c.chat(in, fmt.Sprint("question ", n), 4) == nil) })
		wg.Go(func() { count("payment", c.pay(in, fmt.Sprint("key-", n), "5").status == http.StatusCreated) })
	}
	wg.Wait()
	t.Logf("sent and served: %v", served)
	name := fmt.Sprint("engine-", through[0]+1)
	for command, want := range map[string]*regexp.Regexp{
		"status":  regexp.MustCompile(`limit ` + name + `: 8 requests/s, \d+ permits granted`),
		"targets": regexp.MustCompile(name + ` .* 8/s`),
	} {
		c.await("hickoryctl "+command+" to show the limit", func() bool {
			code, out := c.runCtl(command)
			return code == 0 && want.MatchString(out)
		})
	}
	for name, arrivals := range map[string][]time.Time{"engine": engine.Limit.Arrivals(), "service": service.Limit.Arrivals()} {
		bound := limittest.From(arrivals, binds)
		if most := limittest.Most(bound); most > limittest.Allowed(limit) {
			t.Errorf("limited %s got %d requests within %v, at most %d allowed", name, most, limittest.Window, limittest.Allowed(limit))
		}
		if len(bound) == 0 {
			t.Errorf("limited %s got no request while its limit bound", name)
		}
	}
}
