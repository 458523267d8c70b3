package peer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/internal/net/tcp"
	"github.com/hickoryridge/hickoryridge/internal/task"
)

// pair is an instance that opens connections through another one.
type pair struct {
	near *Network
	stop context.CancelFunc // stops the other instance
	log  *countingHook      // of both
}

// countingHook counts log lines. It is safe for concurrent use.
type countingHook struct{ lines atomic.Int64 }

// Levels returns the levels that are counted.
func (h *countingHook) Levels() []logrus.Level { return []logrus.Level{logrus.WarnLevel} }

// Fire counts a line.
func (h *countingHook) Fire(*logrus.Entry) error {
	h.lines.Add(1)
	return nil
}

// newPair starts two instances. The second one opens connections to targets with dial.
func newPair(t testing.TB, dial Dialer) *pair {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	p := &pair{log: &countingHook{}}
	logger.AddHook(p.log)
	listen := func() net.Listener {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		return l
	}
	handler := func(context.Context, ident.InstanceID, Body) (Body, error) { return nil, nil }
	farListener := listen()
	far := NewNetwork(Config{Self: Hello{Instance: "far"}, Listen: farListener, AcceptUnknown: true, Handler: handler, Dial: dial, Log: logrus.NewEntry(logger)})
	near := NewNetwork(Config{
		Self: Hello{Instance: "near"}, Listen: listen(), Handler: handler, Log: logrus.NewEntry(logger),
		Peers: map[ident.InstanceID]string{"far": farListener.Addr().String()},
	})
	p.near = near
	for _, n := range []*Network{far, near} {
		ctx, cancel := context.WithCancel(context.Background())
		g := task.New(ctx)
		n.Start(g)
		if n == far {
			p.stop = cancel
		}
		t.Cleanup(func() {
			cancel()
			_ = g.Wait() // the cancelled context is the only error
		})
	}
	return p
}

// startTCP starts a server that runs serve on each connection, and returns a dialer to it. Connections that serve does not
// close stay open until the test has ended; without a reference, the garbage collector would close them.
func startTCP(t testing.TB, serve func(c *net.TCPConn)) Dialer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
			go serve(c.(*net.TCPConn))
		}
	}()
	return func(ctx context.Context, _ string) (net.Conn, error) {
		return tcp.Dial(ctx, l.Addr().String(), ConnectionOptions)
	}
}

// TestCarriedAnswer guards against an answer that ends with its connection and is taken for complete although
// the target, or the instance that carries the connection, broke off.
func TestCarriedAnswer(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", 40_000) // some chunks
	for name, test := range map[string]struct {
		serve func(p *pair, c *net.TCPConn)
		want  string
		whole bool
	}{
		"complete": {func(_ *pair, c *net.TCPConn) { _, _ = io.WriteString(c, long); _ = c.Close() }, long, true},
		"empty":    {func(_ *pair, c *net.TCPConn) { _ = c.Close() }, "", true},
		"reset": {func(_ *pair, c *net.TCPConn) {
			_, _ = io.WriteString(c, "part")
			time.Sleep(50 * time.Millisecond)
			_ = c.SetLinger(0)
			_ = c.Close()
		}, "part", false},
		"the carrying instance ends": {func(p *pair, c *net.TCPConn) {
			_, _ = io.WriteString(c, "part")
			time.Sleep(50 * time.Millisecond)
			runtime.GC() // must not end the target's connection before the instance ends
			p.stop()
		}, "part", false},
	} {
		t.Run(name, func(t *testing.T) {
			var p *pair
			p = newPair(t, startTCP(t, func(c *net.TCPConn) {
				head := make([]byte, len("question"))
				if _, err := io.ReadFull(c, head); err != nil || string(head) != "question" {
					t.Errorf("the target received %q, %v", head, err)
				}
				test.serve(p, c)
			}))
			c, err := p.near.Connect(t.Context(), "far", "target")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			if _, err := io.WriteString(c, "question"); err != nil {
				t.Fatal(err)
			}
			got, err := io.ReadAll(c)
			if string(got) != test.want || (err == nil) != test.whole {
				t.Errorf("read %d bytes, error %v, want %d, whole %v", len(got), err, len(test.want), test.whole)
			}
		})
	}
}

// TestCarriedResetDuringUpload guards against an answer that is taken for complete although its target has reset the
// connection, because the carrying instance was told of the reset as it wrote the request.
func TestCarriedResetDuringUpload(t *testing.T) {
	const (
		rounds      = 20      // who is told of the reset is a matter of chance
		uploadBytes = 8 << 20 // more than the kernel keeps
	)
	p := newPair(t, startTCP(t, func(c *net.TCPConn) {
		if _, err := io.ReadFull(c, make([]byte, 100)); err != nil {
			t.Error(err)
		}
		_, _ = io.WriteString(c, "part")
		time.Sleep(5 * time.Millisecond)
		_ = c.SetLinger(0)
		_ = c.Close()
	}))
	for n := range rounds {
		c, err := p.near.Connect(t.Context(), "far", "target")
		if err != nil {
			t.Fatal(err)
		}
		written := make(chan error, 1)
		go func() {
			_, err := c.Write(make([]byte, uploadBytes))
			written <- err
		}()
		got, err := io.ReadAll(c)
		_ = c.Close()
		if werr := <-written; err == nil {
			t.Fatalf("round %d: read %q as a complete answer; the write ended with %v", n, got, werr)
		}
	}
}

// TestConnectFails shows what an instance learns when no connection can be opened through another one.
func TestConnectFails(t *testing.T) {
	refused := func(context.Context, string) (net.Conn, error) {
		return nil, fault.New(fault.NoTarget, "connection refused")
	}
	for name, test := range map[string]struct {
		dial    Dialer
		through ident.InstanceID
		remote  bool
		kind    fault.Kind
	}{
		"target refuses":           {refused, "far", true, fault.NoTarget},
		"instance carries nothing": {nil, "far", true, fault.BadRequest},
		"unknown instance":         {refused, "nobody", false, fault.Overloaded},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := newPair(t, test.dial).near.Connect(t.Context(), test.through, "target")
			var remote *RemoteError
			if errors.As(err, &remote) != test.remote || fault.KindOf(err) != test.kind {
				t.Errorf("error %v of kind %v, want %v, from the other instance: %v", err, fault.KindOf(err), test.kind, test.remote)
			}
		})
	}
}

// TestCarriedCallerLeaves guards against a target that goes on working after its caller has left.
func TestCarriedCallerLeaves(t *testing.T) {
	left := make(chan error, 1)
	p := newPair(t, startTCP(t, func(c *net.TCPConn) {
		_, err := io.ReadAll(c)
		left <- err
	}))
	c, err := p.near.Connect(t.Context(), "far", "target")
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(c, "question")
	_ = c.Close()
	select {
	case <-left:
	case <-time.After(5 * time.Second):
		t.Error("the target still has its connection")
	}
}

// TestCarriedBackpressure guards against an instance that holds the bytes of a target whose reader is slow, and
// against a body of any length that does not arrive whole.
func TestCarriedBackpressure(t *testing.T) {
	const total = 24 << 20
	sent := make(chan int, 1)
	p := newPair(t, startTCP(t, func(c *net.TCPConn) {
		body, err := io.ReadAll(io.LimitReader(c, total))
		if err != nil || len(body) != total {
			t.Errorf("the target received %d bytes, %v", len(body), err)
		}
		n := 0
		for n < total {
			_ = c.SetWriteDeadline(time.Now().Add(300 * time.Millisecond))
			k, err := c.Write(body[n : n+64<<10])
			n += k
			if err != nil { // nobody reads
				sent <- n
				_ = c.SetWriteDeadline(time.Time{})
				break
			}
		}
		_, _ = c.Write(body[n:])
		_ = c.Close()
	}))
	c, err := p.near.Connect(t.Context(), "far", "target")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	body := bytes.Repeat([]byte("x"), total)
	if _, err := c.Write(body); err != nil {
		t.Fatal(err)
	}
	if n := <-sent; n > total/2 {
		t.Errorf("%d of %d bytes were taken while nobody read", n, total)
	}
	got, err := io.ReadAll(c)
	if err != nil || len(got) != total {
		t.Errorf("read %d bytes, %v, want %d", len(got), err, total)
	}
}

// TestCarriedConnectionsEnd guards against tasks that stay, and a warning, for each connection that was carried.
func TestCarriedConnectionsEnd(t *testing.T) {
	p := newPair(t, startTCP(t, func(c *net.TCPConn) {
		_, _ = io.WriteString(c, "answer")
		_ = c.Close()
	}))
	carry := func() {
		c, err := p.near.Connect(t.Context(), "far", "target")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		if got, err := io.ReadAll(c); err != nil || string(got) != "answer" {
			t.Fatalf("read %q, %v", got, err)
		}
	}
	carry()
	before := runtime.NumGoroutine()
	const n = 100
	for range n {
		carry()
	}
	deadline := time.Now().Add(5 * time.Second)
	for runtime.NumGoroutine() > before+n/10 && time.Now().Before(deadline) {
		time.Sleep(10 * time.Millisecond)
	}
	if after := runtime.NumGoroutine(); after > before+n/10 {
		t.Errorf("%d goroutines after %d carried connections, %d before", after, n, before)
	}
	if lines := p.log.lines.Load(); lines > 0 {
		t.Errorf("%d warnings after %d carried connections", lines, n)
	}
}

// TestCarriedAreBounded guards against connections without end, and against a count that does not fall.
func TestCarriedAreBounded(t *testing.T) {
	n := &Network{cfg: Config{Dial: func(context.Context, string) (net.Conn, error) {
		c, _ := net.Pipe()
		return c, nil
	}}}
	var open []net.Conn
	for range maxCarried {
		c, err := n.dialFor(t.Context(), &Connect{})
		if err != nil {
			t.Fatal(err)
		}
		open = append(open, c)
	}
	if _, err := n.dialFor(t.Context(), &Connect{}); !fault.Is(err, fault.Overloaded) {
		t.Errorf("one more: %v, want overloaded", err)
	}
	for _, c := range open {
		_ = c.Close()
		_ = c.Close() // counts once
	}
	if got := n.carried.Load(); got != 0 {
		t.Errorf("%d connections counted after all were closed", got)
	}
}

// TestDownSince checks the time since which there is no connection to a peer.
func TestDownSince(t *testing.T) {
	began := clock.Now()
	p := newPair(t, nil)
	await := func(up bool) clock.Time {
		t.Helper()
		for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
			if since, down := p.near.DownSince("far"); down != up {
				return since
			}
		}
		t.Fatalf("timed out waiting for a connection to be %v", up)
		return 0
	}
	await(true)
	ended := clock.Now()
	p.stop()
	if since := await(false); since < ended || since > clock.Now() {
		t.Errorf("down since %v, want between %v and now", since.Sub(began), ended.Sub(began))
	}
	if _, down := p.near.DownSince("nobody"); down {
		t.Error("an unknown instance is reported as down")
	}
}
