package e2e

import (
	"bytes"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/instance"
	"github.com/hickoryridge/hickoryridge/internal/standin"
)

// addVoter adds instance i as a voter by requests through another instance, until one succeeds.
func (c *cluster) addVoter(through, i int) {
	c.t.Helper()
	body := []byte(`{"instance":"` + string(c.nodes[i].id) + `","change":"add"}`)
	c.await("the voter to be added", func() bool {
		return do(http.MethodPost, c.controlURL(through)+"/v1/members", nil, body).status == http.StatusOK
	})
}

// acceptedVoters returns the number of voters in a report that are not rejected.
func acceptedVoters(r instance.Report) int {
	n := 0
	for _, m := range r.Members {
		if m.Voter && !m.Rejected {
			n++
		}
	}
	return n
}

// TestLostDisk deletes a voter's data directory and adds the voter with its new disk to the quorum.
// When a second voter fails right after the repair, no committed state may be missing.
func TestLostDisk(t *testing.T) {
	c := newCluster(t, 3, 3, false)
	c.addTargets(1, 1, standin.EngineConfig{Speed: 20})
	c.bootstrap()
	if a := c.pay(0, "pay-1", `{}`); a.status != http.StatusCreated {
		t.Fatalf("payment: status %d: %s", a.status, a.body)
	}
	lost := c.otherThan(0, c.leader(0))
	c.kill(lost)
	c.wipe(lost)
	c.start(lost)
	c.awaitReady(lost)
	r, _ := c.leaderReport(0)
	oldDisk := ""
	for _, m := range r.Members {
		if m.Instance == c.nodes[lost].id {
			oldDisk = string(m.Disk)
		}
	}
	c.addVoter(0, lost)
	r, _ = c.leaderReport(0)
	if acceptedVoters(r) != 3 || len(r.Members) != 3 {
		t.Fatalf("members after the repair: %+v", r.Members)
	}
	for _, m := range r.Members {
		if string(m.Disk) == oldDisk {
			t.Errorf("the lost disk is still a member: %+v", r.Members)
		}
	}
	second := c.otherThan(lost)
	c.kill(second)
	through := c.otherThan(lost, second)
	c.apply(through)
	if a := c.pay(through, "pay-1", `{}`); a.status != http.StatusCreated || c.runs("pay-1") != 1 {
		t.Errorf("payment after the second failure: status %d: %s, executed %d times", a.status, a.body, c.runs("pay-1"))
	}
}

// TestLostDisksDoNotElect deletes two of three data directorys. The two voters with empty disks must
// not form a quorum without the committed state.
func TestLostDisksDoNotElect(t *testing.T) {
	c := newCluster(t, 3, 3, false)
	c.bootstrap()
	for i := range c.nodes {
		c.kill(i)
	}
	c.wipe(1)
	c.wipe(2)
	for i := range c.nodes {
		c.start(i)
	}
	// An election that can succeed takes less than two seconds.
	time.Sleep(4 * time.Second)
	for i := range c.nodes {
		if r, ok := c.leaderReport(i); ok {
			t.Errorf("%s reports leader %s without a majority of the disks", c.nodes[i].id, r.Leader)
		}
		if a := do(http.MethodGet, c.callersURL(i)+"/readyz", nil, nil); a.status == http.StatusOK {
			t.Errorf("%s is ready without a majority of the disks", c.nodes[i].id)
		}
	}
}

// TestFrozenLeader suspends the leader past the end of its lease, so that another one is elected.
// When the former leader resumes, it must not report an outdated document as the one in force.
func TestFrozenLeader(t *testing.T) {
	c := newCluster(t, 3, 3, false)
	c.addTargets(1, 1, standin.EngineConfig{Speed: 20})
	c.bootstrap()
	for range 3 {
		old := c.leader(0)
		through := c.otherThan(old)
		c.signal(old, syscall.SIGSTOP)
		c.apply(through)
		c.signal(old, syscall.SIGCONT)
		a := do(http.MethodGet, c.callersURL(old)+"/readyz", nil, nil)
		if r, ok := c.leaderReport(old); ok && r.Number != c.number {
			t.Errorf("the former leader reports document %d, want %d in force (readiness status %d)", r.Number, c.number, a.status)
		}
		c.awaitReady(old)
		c.await("the pause to be logged", func() bool {
			log, err := os.ReadFile(c.nodes[old].logPath)
			return err == nil && bytes.Contains(log, []byte("event=paused "))
		})
	}
}

// TestSilentPartition blocks all messages to one voter for longer than an election timeout, then
// heals the partition. The isolated voter must not cause an election, so the leader's term must not
// change.
func TestSilentPartition(t *testing.T) {
	c := newCluster(t, 3, 3, true)
	c.bootstrap()
	leader := c.leader(0)
	partitioned := c.otherThan(leader)
	through := c.otherThan(partitioned)
	before, _ := c.leaderReport(through)
	for pair, r := range c.relays {
		if pair[1] == partitioned {
			r.blocked.Store(true) // the voter can send requests but receives no messages
		}
	}
	time.Sleep(5 * time.Second)
	c.apply(through)
	c.isolate(partitioned, false)
	c.awaitReady(partitioned)
	after, ok := c.leaderReport(through)
	if !ok || after.Term != before.Term {
		t.Errorf("term %d before the partition, %d after", before.Term, after.Term)
	}
}

// TestLeaderCutOff partitions the leader from the other voters. It must stop granting leases and
// reject requests, and the others must elect a new leader.
func TestLeaderCutOff(t *testing.T) {
	c := newCluster(t, 3, 3, true)
	c.addTargets(1, 1, standin.EngineConfig{Speed: 20})
	c.bootstrap()
	old := c.leader(0)
	through := c.otherThan(old)
	c.isolate(old, true)
	c.apply(through)
	a := do(http.MethodGet, c.callersURL(old)+"/services/desk/postage/TT-1", nil, nil)
	if code, ran := a.code(); code != "config_lapsed" || ran != "no" || a.header.Get("Retry-After") == "" {
		t.Errorf("response of the isolated leader: status %d: %s", a.status, a.body)
	}
	c.isolate(old, false)
	c.awaitReady(old)
}

// TestLossOfMajority kills two of three voters. The remaining one must reject every request at once
// with an error response, and must serve requests again when one of the others restarts.
func TestLossOfMajority(t *testing.T) {
	c := newCluster(t, 3, 3, false)
	c.addTargets(1, 1, standin.EngineConfig{Speed: 20})
	c.bootstrap()
	c.kill(1)
	c.kill(2)
	c.await("requests to be rejected", func() bool {
		a := c.pay(0, "pay-1", `{}`)
		code, ran := a.code()
		return code == "config_lapsed" && ran == "no"
	})
	if c.runs("pay-1") != 0 {
		t.Error("the rejected payment was executed")
	}
	c.start(1)
	c.awaitReady(0)
	// An attempt that was rejected as not run may have claimed the key in the log of the former
	// leader. Its owner releases the claim, and responds with in_progress until then.
	c.await("the payment to succeed", func() bool {
		a := c.pay(0, "pay-1", `{}`)
		if code, _ := a.code(); a.status != http.StatusCreated && code != "in_progress" {
			t.Errorf("payment after the restart: status %d: %s", a.status, a.body)
		}
		return a.status == http.StatusCreated
	})
	if got := c.runs("pay-1"); got != 1 {
		t.Errorf("executed %d times, want 1", got)
	}
}
