package instance

import (
	"context"
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/examples"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/net/freeport"
	"github.com/hickoryridge/hickoryridge/quorum"
	"github.com/hickoryridge/hickoryridge/settings"
	"github.com/hickoryridge/hickoryridge/state"
)

// cluster runs three instances in this process, each a voter.
type cluster struct {
	t         *testing.T
	instances []*Instance
	stops     []context.CancelFunc // by instance
	ended     chan error           // receives the result of each Run
}

func newCluster(t *testing.T) *cluster {
	t.Helper()
	return newClusterWith(t, discardLogger(), func(*Instance) {})
}

// newClusterWith is like newCluster with a logger, and calls prepare with each instance before it runs.
func newClusterWith(t *testing.T, logger *logrus.Logger, prepare func(*Instance)) *cluster {
	t.Helper()
	var peers []settings.Peer
	for i := range 3 {
		peers = append(peers, settings.Peer{Instance: ident.InstanceID(fmt.Sprint("i", i)), Address: freeport.Address(t), Voter: true})
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &cluster{t: t, ended: make(chan error, len(peers))}
	for i, self := range peers {
		s := &settings.Settings{
			Instance: self.Instance, Region: "r", Domain: "d", Peer: self.Address,
			Callers: "127.0.0.1:0", Control: "127.0.0.1:0", Data: filepath.Join(t.TempDir(), string(self.Instance)),
		}
		for j, other := range peers {
			if i != j {
				s.Peers = append(s.Peers, other)
			}
		}
		in, err := New(s, logger)
		if err != nil {
			t.Fatal(err)
		}
		prepare(in)
		c.instances = append(c.instances, in)
		running, stop := context.WithCancel(ctx)
		c.stops = append(c.stops, stop)
		go func() { c.ended <- in.Run(running) }()
	}
	t.Cleanup(func() {
		cancel()
		for range peers {
			if err := <-c.ended; err != nil {
				t.Errorf("an instance ended with %v", err)
			}
		}
	})
	return c
}

func discardLogger() *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logger
}

// waitFor waits until f returns true and fails the test after 30 seconds.
func (c *cluster) waitFor(what string, f func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !f(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			c.t.Fatalf("timed out waiting for %s", what)
		}
	}
}

func (c *cluster) leader() *Instance {
	var leader *Instance
	c.waitFor("a leader", func() bool {
		for _, in := range c.instances {
			if _, _, err := in.voter.activeLeader(); err == nil {
				leader = in
				return true
			}
		}
		return false
	})
	return leader
}

// apply commits a document through an instance.
func (c *cluster) apply(through *Instance, number ident.DocumentNumber) error {
	doc, faults := desired.Parse(examples.Association)
	if len(faults) > 0 {
		c.t.Fatal(faults)
	}
	doc.Number = number
	data, digest, err := doc.Encode()
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(c.t.Context(), 5*time.Second)
	defer cancel()
	result, err := through.leader.Propose(ctx, state.Command{Apply: &state.ApplyDocument{Number: number, Digest: digest, Data: data}})
	if err != nil {
		return err
	}
	return result.Err()
}

// failDisk makes every further write of an instance's voter fail, as a full disk does. Earlier
// writes remain.
func failDisk(in *Instance) { _ = in.voter.disk().Close() }

// TestInstanceServesAfterDiskFailure fails the disks of two voters, the leader's first. The
// instances must continue as entries, and a voter whose disk accepts writes again must vote again.
func TestInstanceServesAfterDiskFailure(t *testing.T) {
	c := newCluster(t)
	first := c.leader()
	if err := c.apply(first, 1); err != nil {
		t.Fatal(err)
	}
	failDisk(first)
	c.waitFor("a change without the first leader's disk", func() bool { return c.apply(first, 2) == nil })
	c.waitFor("the change at the entry whose disk failed", func() bool {
		current := first.gate.Latest()
		return current != nil && current.Number == 2
	})
	second := c.leader()
	failDisk(second) // two of three may be down at once
	c.waitFor("a change after both", func() bool { return c.apply(second, 3) == nil })
	c.waitFor("every voter to be back", func() bool {
		for _, in := range c.instances {
			node := in.voter.node.Load()
			if node == nil || in.voter.machine.View().Number != 3 {
				return false
			}
		}
		return true
	})
	select {
	case err := <-c.ended:
		t.Errorf("an instance ended: %v", err)
		c.ended <- err
	default:
	}
}

// TestReopen checks that a voter reopens its disk after a failed write and never after a failed
// sync.
func TestReopen(t *testing.T) {
	for name, test := range map[string]struct {
		cause error
		again bool
	}{
		"write failed": {errors.New("no space left on device"), true},
		"sync failed":  {fmt.Errorf("task quorum disk: %w", quorum.ErrSync), false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				v := &voter{in: &Instance{settings: &settings.Settings{Data: t.TempDir()}, log: logrus.NewEntry(discardLogger())}}
				reopened := make(chan error, 1)
				go func() { reopened <- v.reopen(ctx, test.cause) }()
				time.Sleep(time.Hour)
				synctest.Wait()
				if got := v.disk() != nil; got != test.again {
					t.Errorf("disk reopened: %v, want %v", got, test.again)
				}
				cancel()
				<-reopened
			})
		})
	}
}
