package instance

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/internal/target/http1"
	"github.com/hickoryridge/hickoryridge/peer"
	"github.com/hickoryridge/hickoryridge/target"
)

// contactTime is the time within which an instance that is cut off must be served.
const contactTime = 4 * time.Second

// partition cuts an instance off from all targets. It is safe for concurrent use.
type partition struct {
	dial peer.Dialer // without the partition

	mu     sync.Mutex
	cut    bool
	silent bool // attempts to connect get no reply, else they are refused
}

// connect opens a connection, unless the instance is cut off.
func (p *partition) connect(ctx context.Context, addr string) (net.Conn, error) {
	p.mu.Lock()
	cut, silent := p.cut, p.silent
	p.mu.Unlock()
	switch {
	case cut && silent:
		ctx, cancel := context.WithTimeout(ctx, http1.ConnectionOptions.DialTimeout)
		defer cancel()
		<-ctx.Done()
		return nil, ctx.Err()
	case cut:
		return nil, syscall.ECONNREFUSED
	}
	return p.dial(ctx, addr)
}

func (p *partition) set(cut, silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut, p.silent = cut, silent
}

// linkLog records how often links were lost and came back.
type linkLog struct {
	mu     sync.Mutex
	events []string
}

// Levels returns the levels that are recorded.
func (l *linkLog) Levels() []logrus.Level { return []logrus.Level{logrus.WarnLevel} }

// Fire records an event of a link.
func (l *linkLog) Fire(e *logrus.Entry) error {
	event := fmt.Sprint(e.Data["event"])
	if strings.HasPrefix(event, "link_") {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.events = append(l.events, event)
	}
	return nil
}

func (l *linkLog) all() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Join(l.events, " ")
}

// startTargets starts targets that announce themselves to all instances until the test ends, and returns
// their addresses.
func (c *cluster) startTargets(n int, h http.Handler) (addrs []string, stop func()) {
	var servers []*httptest.Server
	ctx, cancel := context.WithCancel(context.Background())
	for i := range n {
		server := httptest.NewServer(h)
		servers = append(servers, server)
		addr := strings.TrimPrefix(server.URL, "http://")
		addrs = append(addrs, addr)
		done := make(chan struct{})
		go func() {
			defer close(done)
			for s := uint64(1); ctx.Err() == nil; s++ {
				for _, in := range c.instances {
					in.targetPool.Announce(clock.Now(), target.Announcement{
						Target: ident.TargetID(fmt.Sprint("t", i)), Service: "s", Address: addr, Region: "r", Domain: ident.DomainID(fmt.Sprint("d", i)),
						Incarnation: 1, Sequence: s, Lease: desired.Duration(target.MaxLease),
					})
				}
				select {
				case <-ctx.Done():
				case <-time.After(300 * time.Millisecond):
				}
			}
		}()
		c.t.Cleanup(func() { <-done })
	}
	stopServers := func() {
		for _, s := range servers {
			s.Close()
		}
	}
	c.t.Cleanup(func() { cancel(); stopServers() })
	return addrs, stopServers
}

// ask sends a request to a target.
func ask(in *Instance, addr, id string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	resp, err := in.targetClient.Do(ctx, addr, &http1.Request{Method: http.MethodGet, URI: "/" + id, Host: "h", Header: http.Header{}})
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Close() }() // never fails
	body, err := io.ReadAll(resp)
	return string(body), err
}

// askUntil sends a request every 30 ms until a time, to the targets in turn, and returns how many failed.
func askUntil(in *Instance, addrs []string, end time.Time) (sent, failed int) {
	var wg sync.WaitGroup
	var bad atomic.Int64
	for ; time.Now().Before(end); time.Sleep(30 * time.Millisecond) {
		sent++
		id, addr := fmt.Sprint(sent), addrs[sent%len(addrs)]
		wg.Go(func() {
			if body, err := ask(in, addr, id); err != nil || body != "answer to /"+id {
				bad.Add(1)
			}
		})
	}
	wg.Wait()
	return sent, int(bad.Load())
}

// newPartitionedCluster starts three instances, of which the first one has a partition.
func newPartitionedCluster(t *testing.T) (*cluster, *partition, *linkLog) {
	p, log, logger := &partition{}, &linkLog{}, discardLogger()
	logger.AddHook(log)
	c := newClusterWith(t, logger, func(in *Instance) {
		if in.settings.Instance == "i0" {
			p.dial = in.link.direct
			in.link.direct = p.connect
		}
	})
	first := c.instances[0]
	c.waitFor("connections between instances", func() bool {
		return first.network.Connected("i1") && first.network.Connected("i2")
	})
	return c, p, log
}

// TestCutOffInstanceServes guards against an instance that cannot reach any target and fails the requests of its
// callers, although other instances reach the targets.
func TestCutOffInstanceServes(t *testing.T) {
	for name, silent := range map[string]bool{"silent": true, "refused": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, p, log := newPartitionedCluster(t)
			addrs, _ := c.startTargets(4, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.WriteString(w, "answer to "+r.URL.Path)
			}))
			in := c.instances[0]
			if sent, failed := askUntil(in, addrs, time.Now().Add(500*time.Millisecond)); failed > 0 {
				t.Errorf("before the partition: %d of %d failed", failed, sent)
			}
			p.set(true, silent)
			in.targetClient.Close() // idle connections are lost
			askUntil(in, addrs, time.Now().Add(contactTime))
			if sent, failed := askUntil(in, addrs, time.Now().Add(2*time.Second)); failed > 0 {
				t.Errorf("cut off for %v: %d of %d failed", contactTime, failed, sent)
			}
			p.set(false, false)
			if sent, failed := askUntil(in, addrs, time.Now().Add(2*time.Second)); failed > 0 {
				t.Errorf("after the link healed: %d of %d failed", failed, sent)
			}
			if in.link.cutOff() || log.all() != "link_lost link_back" {
				t.Errorf("cut off: %v, events %q, want one loss and one return", in.link.cutOff(), log.all())
			}
		})
	}
}

// TestCarryingInstanceStops guards against requests of an instance that is cut off, which are cut off once more when
// the instance that carries them stops.
func TestCarryingInstanceStops(t *testing.T) {
	const takes = 1500 * time.Millisecond
	c, p, _ := newPartitionedCluster(t)
	addrs, _ := c.startTargets(4, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/slow") {
			time.Sleep(takes)
		}
		_, _ = io.WriteString(w, "answer to "+r.URL.Path)
	}))
	in := c.instances[0]
	askUntil(in, addrs, time.Now().Add(200*time.Millisecond))
	p.set(true, false)
	in.targetClient.Close() // idle connections are lost
	askUntil(in, addrs, time.Now().Add(contactTime))
	answers := make(chan error, 2*len(addrs))
	for n := range cap(answers) {
		go func() {
			id := fmt.Sprint("slow", n)
			body, err := ask(in, addrs[n%len(addrs)], id)
			if err == nil && body != "answer to /"+id {
				err = fmt.Errorf("body %q", body)
			}
			answers <- err
		}()
	}
	carriers := c.instances[1:]
	c.waitFor("carried requests", func() bool {
		return carriers[0].network.Carried()+carriers[1].network.Carried() == cap(answers)
	})
	for i, carrier := range carriers {
		if carrier.network.Carried() > 0 {
			c.stops[1+i]()
		}
	}
	for range cap(answers) {
		if err := <-answers; err != nil {
			t.Errorf("carried request: %v", err)
		}
	}
}

// TestTargetsDownIsNoPartition guards against an instance that takes targets which are down for everybody for
// a lost link.
func TestTargetsDownIsNoPartition(t *testing.T) {
	c, _, log := newPartitionedCluster(t)
	addrs, stop := c.startTargets(4, http.NotFoundHandler())
	stop()
	in := c.instances[0]
	if sent, failed := askUntil(in, addrs, time.Now().Add(2*time.Second)); failed != sent {
		t.Errorf("%d of %d requests failed although no target runs", failed, sent)
	}
	if in.link.cutOff() || log.all() != "" {
		t.Errorf("cut off: %v, events %q, want none", in.link.cutOff(), log.all())
	}
}

// TestCarriesToTargetsOnly guards against an instance that opens connections to any address for others.
func TestCarriesToTargetsOnly(t *testing.T) {
	c, _, _ := newPartitionedCluster(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	if conn, err := c.instances[0].network.Connect(t.Context(), "i1", l.Addr().String()); err == nil {
		_ = conn.Close()
		t.Error("an address that no target has announced was connected to")
	}
}
