package instance

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/examples"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/quorum"
	"github.com/hickoryridge/hickoryridge/settings"
	"github.com/hickoryridge/hickoryridge/state"
)

// trio is three instances in this process, each a voter.
type trio struct {
	t         *testing.T
	instances []*Instance
	ended     chan error // gets an instance's end
}

func newTrio(t *testing.T) *trio {
	t.Helper()
	var peers []settings.Peer
	for i := range 3 {
		peers = append(peers, settings.Peer{Instance: ident.InstanceID(fmt.Sprint("i", i)), Address: freeAddress(t), Voter: true})
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &trio{t: t, ended: make(chan error, len(peers))}
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
		in, err := New(s, quiet())
		if err != nil {
			t.Fatal(err)
		}
		c.instances = append(c.instances, in)
		go func() { c.ended <- in.Run(ctx) }()
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

func quiet() *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logger
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// await waits until f holds.
func (c *trio) await(what string, f func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !f(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			c.t.Fatalf("waited in vain for %s", what)
		}
	}
}

func (c *trio) leader() *Instance {
	var leader *Instance
	c.await("a leader", func() bool {
		for _, in := range c.instances {
			if _, _, err := in.voter.lead(); err == nil {
				leader = in
				return true
			}
		}
		return false
	})
	return leader
}

// apply commits a document through an instance.
func (c *trio) apply(through *Instance, number ident.DocumentNumber) error {
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

// breakDisk makes every further write of an instance's voter fail, as a full disk
// does. What was written stays.
func breakDisk(in *Instance) { _ = in.voter.disk().Close() }

// TestEntryOutlivesItsDisk lets the disks of voters fail, the leader's first. The
// instances go on as entries; a voter whose disk takes writes again votes again.
func TestEntryOutlivesItsDisk(t *testing.T) {
	c := newTrio(t)
	first := c.leader()
	if err := c.apply(first, 1); err != nil {
		t.Fatal(err)
	}
	breakDisk(first)
	c.await("a change without the first leader's disk", func() bool { return c.apply(first, 2) == nil })
	c.await("the change at the entry whose disk failed", func() bool {
		current := first.gate.Latest()
		return current != nil && current.Number == 2
	})
	second := c.leader()
	breakDisk(second) // two of three may be away at once
	c.await("a change after both", func() bool { return c.apply(second, 3) == nil })
	c.await("every voter to be back", func() bool {
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

// TestReopen checks that a voter opens its disk again after a failed write, and
// never after a failed sync.
func TestReopen(t *testing.T) {
	for name, test := range map[string]struct {
		cause error
		again bool
	}{
		"write failed": {errors.New("no space left on device"), true},
		"sync failed":  {fmt.Errorf("duty quorum disk: %w", quorum.ErrSync), false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				v := &voter{in: &Instance{settings: &settings.Settings{Data: t.TempDir()}, log: logrus.NewEntry(quiet())}}
				reopened := make(chan error, 1)
				go func() { reopened <- v.reopen(ctx, test.cause) }()
				time.Sleep(time.Hour)
				synctest.Wait()
				if got := v.disk() != nil; got != test.again {
					t.Errorf("opened again: %v, want %v", got, test.again)
				}
				cancel()
				<-reopened
			})
		})
	}
}
