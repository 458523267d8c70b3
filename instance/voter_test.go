package instance

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"reflect"
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

// TestReopen checks what a voter takes for its disk's content: after a failed write what the files hold, after a failed sync only what
// it has in memory, once the files have been written anew. Nothing else comes back.
func TestReopen(t *testing.T) {
	writeFailed := errors.New("no space left on device")
	syncFailed := fmt.Errorf("task quorum disk: %w", quorum.ErrSync)
	members := quorum.Membership{Members: []quorum.Member{{ID: "i0", Disk: "d0", Voter: true}}}
	spoil := func(t *testing.T, dir string) {
		for _, name := range []string{"log", "snapshot"} {
			if err := os.WriteFile(filepath.Join(dir, name), []byte("anything"), 0o600); err != nil {
				t.Fatal(err)
			}
		}
	}
	for name, test := range map[string]struct {
		cause  error
		happen func(t *testing.T, dir string) // to the data directory
		again  bool
	}{
		"write failed":                       {writeFailed, func(*testing.T, string) {}, true},
		"write failed, files spoilt":         {writeFailed, spoil, false},
		"sync failed":                        {syncFailed, func(*testing.T, string) {}, true},
		"sync failed, files spoilt":          {syncFailed, spoil, true},
		"sync failed, no room for new files": {syncFailed, blockFiles, false},
		"sync failed, disk replaced": {syncFailed, func(t *testing.T, dir string) {
			if err := os.RemoveAll(dir); err != nil {
				t.Fatal(err)
			}
			if other, err := quorum.OpenStore(dir); err != nil || other.Close() != nil {
				t.Fatal(err)
			}
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			dir := filepath.Join(t.TempDir(), "data")
			before, err := quorum.OpenStore(dir)
			if err != nil {
				t.Fatal(err)
			}
			if err := errors.Join(before.Bootstrap(members), before.Close()); err != nil {
				t.Fatal(err)
			}
			want := before.Stored()
			test.happen(t, dir)
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				v := &voter{store: before, stopCause: test.cause, in: &Instance{settings: &settings.Settings{Data: dir}, log: logrus.NewEntry(discardLogger())}}
				reopened := make(chan error, 1)
				go func() { reopened <- v.reopen(ctx, test.cause) }()
				time.Sleep(time.Hour)
				synctest.Wait()
				if got := v.stateName() != "stopped"; got != test.again {
					t.Errorf("disk reopened: %v, want %v", got, test.again)
				}
				cancel()
				<-reopened
			})
			if !test.again {
				return
			}
			_ = before.Close() // of the files that were written anew, or of none
			after, err := quorum.OpenStore(dir)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = after.Close() }() // as above
			if got := after.Stored(); !reflect.DeepEqual(got, want) || after.Disk() != before.Disk() {
				t.Errorf("disk %s holds %+v, want %s with %+v", after.Disk(), got, before.Disk(), want)
			}
		})
	}
}
