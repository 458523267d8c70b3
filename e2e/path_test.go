package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/internal/standin"
)

// TestServesThroughFollower sends streamed and plain requests through a follower, then kills an
// idle follower. The remaining instances must keep serving.
func TestServesThroughFollower(t *testing.T) {
	c := newCluster(t, 3, 3, false)
	c.addTargets(3, 2, standin.EngineConfig{Speed: 20})
	c.bootstrap()
	leader := c.leader(0)
	follower := c.otherThan(leader)
	idle := c.otherThan(leader, follower)
	check := func(key string) {
		t.Helper()
		if err := c.chat(follower, "Has roll 17 arrived?", 8); err != nil {
			t.Error(err)
		}
		a := c.pay(follower, key, `{"amount":1}`)
		if a.status != http.StatusCreated || c.runs(key) != 1 {
			t.Errorf("payment: status %d: %s, executed %d times", a.status, a.body, c.runs(key))
		}
		lookup := do(http.MethodGet, c.callersURL(follower)+"/services/desk/postage/TT-1", nil, nil)
		if lookup.status != http.StatusOK {
			t.Errorf("lookup: status %d: %s", lookup.status, lookup.body)
		}
	}
	check("pay-1")
	c.kill(idle)
	check("pay-2")
}

// TestPlannedStopCutsNothing sends SIGTERM twice to the leader while it streams responses. It must
// reject new requests, complete every stream and exit with code 0.
func TestPlannedStopCutsNothing(t *testing.T) {
	c := newCluster(t, 3, 3, false)
	c.addTargets(3, 1, standin.EngineConfig{Speed: 1})
	c.bootstrap()
	stopped := c.leader(0)
	const streams = 6
	results := make(chan error, streams)
	for i := range streams {
		go func() { results <- c.chat(stopped, fmt.Sprint("question ", i), 400) }()
	}
	c.await("streams in progress", func() bool { return runningRequests(c) == streams })
	c.signal(stopped, syscall.SIGTERM)
	c.awaitLeaving(stopped)
	c.signal(stopped, syscall.SIGTERM)
	rejected := do(http.MethodPost, c.callersURL(stopped)+"/v1/chat/completions", nil, chatBody("late", 1))
	if code, ran := rejected.code(); code != "draining" || ran != "no" || rejected.header.Get("Retry-After") == "" {
		t.Errorf("request to the stopping instance: status %d: %s", rejected.status, rejected.body)
	}
	for range streams {
		if err := <-results; err != nil {
			t.Error(err)
		}
	}
	nd := c.nodes[stopped]
	if err := <-nd.exited; err != nil {
		t.Errorf("exit: %v", err)
	}
	nd.cmd = nil
	if err := c.chat(c.otherThan(stopped), "afterwards", 4); err != nil {
		t.Error(err)
	}
}

// runningRequests returns the number of requests that the stand-in engines are executing.
func runningRequests(c *cluster) int {
	n := 0
	for _, e := range c.engines {
		n += e.State().Running
	}
	return n
}

// TestStopWhileIdle checks that an idle instance exits with code 0 on SIGTERM.
func TestStopWhileIdle(t *testing.T) {
	c := newCluster(t, 1, 1, false)
	c.bootstrap()
	if err := c.terminate(0); err != nil {
		t.Errorf("exit: %v", err)
	}
}

// TestCheckNamesFaults runs the check command with invalid settings. It must exit with code 2 and
// name the file, the field and the fault.
func TestCheckNamesFaults(t *testing.T) {
	for name, test := range map[string]struct{ settings, want string }{
		"unknown field": {`{"instance":"i","regionn":"n"}`, "$.regionn: unknown field"},
		"wrong type":    {`{"instance":7}`, "$.instance: want a string, not 7"},
		"no voter":      {`{"instance":"i","region":"n","domain":"d","callers":"a:1","control":"a:2","peer":"a:3"}`, "$.peers: no instance is a voter"},
		"not JSON":      {`{"instance":`, "$.instance: not JSON"},
		"bad address":   {`{"instance":"i","region":"n","domain":"d","callers":"x","control":"a:2","peer":"a:3","data":"d"}`, "$.callers: want host:port"},
	} {
		t.Run(name, func(t *testing.T) {
			path := t.TempDir() + "/s.json"
			writeFile(t, path, test.settings)
			out, err := exec.Command(daemonPath, "check", "-settings", path).CombinedOutput()
			exit, ok := err.(*exec.ExitError)
			if !ok || exit.ExitCode() != 2 || !strings.Contains(string(out), path+": "+test.want) {
				t.Errorf("exit %v, output %s", err, out)
			}
		})
	}
}

// TestDemo runs the demo command as a user does.
func TestDemo(t *testing.T) {
	out, err := exec.Command(daemonPath, "demo").CombinedOutput()
	if err != nil || !strings.Contains(string(out), "ran payment pay-17 1 time(s)") {
		t.Errorf("demo: %v\n%s", err, out)
	}
}

// TestLeavingTarget withdraws a target while one instance is partitioned from the others. No
// instance, including the partitioned one, may use the target after its lease has expired.
func TestLeavingTarget(t *testing.T) {
	c := newCluster(t, 3, 3, true)
	c.addTargets(2, 1, standin.EngineConfig{Speed: 20})
	c.bootstrap()
	partitioned := c.otherThan(c.leader(0))
	c.isolate(partitioned, true)
	c.withdraw[0]()
	c.await("the target to become unusable at every instance", func() bool {
		for i := range c.nodes {
			if targetUsable(c, i, "engine-1") {
				return false
			}
		}
		return true
	})
	c.isolate(partitioned, false)
	c.withdraw = c.withdraw[1:]
	c.awaitReady(partitioned)
	before := c.engines[0].Served()
	for range 10 {
		if err := c.chat(partitioned, "Who answers?", 2); err != nil {
			t.Error(err)
		}
	}
	if after := c.engines[0].Served(); after != before {
		t.Errorf("the withdrawn engine received %d requests", after-before)
	}
}

// targetUsable reports whether instance i considers a target usable, or does not respond.
func targetUsable(c *cluster, i int, id string) bool {
	var list []struct {
		Target string `json:"target"`
		Usable bool   `json:"usable"`
	}
	a := do(http.MethodGet, c.controlURL(i)+"/v1/targets", nil, nil)
	if a.err != nil || json.Unmarshal(a.body, &list) != nil {
		return true
	}
	for _, t := range list {
		if t.Target == id && t.Usable {
			return true
		}
	}
	return false
}

// TestLargeAndSlowRequests sends an oversized body, an incomplete body, incomplete headers, and
// noise on the peer port. The instance must reject them and keep serving other requests.
func TestLargeAndSlowRequests(t *testing.T) {
	c := newCluster(t, 1, 1, false)
	c.addTargets(1, 1, standin.EngineConfig{Speed: 20})
	c.bootstrap()
	large := do(http.MethodPost, c.callersURL(0)+"/services/desk/payments", map[string]string{"Idempotency-Key": "k"}, make([]byte, 100<<20))
	if code, _ := large.code(); large.err == nil && code != "too_large" {
		t.Errorf("payment of 100 MiB: status %d: %s", large.status, large.body)
	}
	partialBody := dial(t, c.nodes[0].settings.Callers, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Tenant: tobago\r\nContent-Length: 1000\r\n\r\n{\"model\"")
	partialHeader := dial(t, c.nodes[0].settings.Callers, "POST /v1/chat/completions HTTP/1.1\r\nHost")
	noise := dial(t, c.nodes[0].settings.Peer, strings.Repeat("noise", 100))
	if err := c.chat(0, "Still there?", 4); err != nil {
		t.Error(err)
	}
	// The instance closes a connection with invalid or incomplete data without any action of the
	// client.
	if n, err := noise.Read(make([]byte, 1)); err == nil {
		t.Errorf("the peer port sent %d bytes in response to noise", n)
	}
	if err := partialHeader.SetReadDeadline(time.Now().Add(awaitTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := partialHeader.Read(make([]byte, 1)); err == nil {
		t.Log("incomplete headers received a response") // status 408 is valid as well
	}
	_ = partialBody.Close()
	if c.runs("k") != 0 {
		t.Error("the rejected request was executed")
	}
	if err := c.chat(0, "And now?", 4); err != nil {
		t.Error(err)
	}
}
