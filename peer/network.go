package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/net/tcp"
	"github.com/hickoryridge/hickoryridge/internal/queue"
	"github.com/hickoryridge/hickoryridge/internal/task"
)

// Bounds of connections.
const (
	outputRing   = 4096
	maxCalls     = 1024 // calls that one connection may have running here
	dialTimeout  = 2 * time.Second
	silence      = 2 * time.Second // for which a connection may leave data unacknowledged
	probeEvery   = 1 * time.Second
	helloTimeout = 5 * time.Second
	writeTimeout = 5 * time.Second
	redialMin    = 50 * time.Millisecond
	redialMax    = 1 * time.Second
	bufferBytes  = 64 << 10
)

// ConnectionOptions bounds the silence of connections between instances.
var ConnectionOptions = tcp.Options{DialTimeout: dialTimeout, UserTimeout: silence, ProbeInterval: probeEvery}

// Handler answers the messages of other instances. A nil body is no reply. It
// must end when ctx does.
type Handler func(ctx context.Context, from ident.InstanceID, b Body) (Body, error)

// Config is what a Network is started with.
type Config struct {
	Self          Hello
	Listen        net.Listener
	Peers         map[ident.InstanceID]string // addresses that are known at the start, without this instance
	AcceptUnknown bool                        // instances that are not among the peers may connect
	TLS           *tls.Config                 // nil means plain TCP
	Handler       Handler
	Log           *logrus.Entry
}

// Network holds the connections to every other instance.
type Network struct {
	cfg     Config
	traffic traffic

	mu    sync.RWMutex
	links map[ident.InstanceID]*link
	group *task.Group // of the links; nil before Start
}

// NewNetwork returns a network. Start runs it.
func NewNetwork(cfg Config) *Network {
	n := &Network{cfg: cfg, links: map[ident.InstanceID]*link{}}
	for id, addr := range cfg.Peers {
		n.links[id] = newLink(n, id, addr)
	}
	return n
}

func newLink(n *Network, id ident.InstanceID, addr string) *link {
	return &link{
		n: n, peer: id, addr: addr, stop: func() {},
		out:     queue.New[[]byte]("peer "+string(id), outputRing),
		waiting: map[uint64]chan Envelope{},
	}
}

// SetPeer makes an instance a peer at an address, or changes its address.
func (n *Network) SetPeer(id ident.InstanceID, addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	old := n.links[id]
	if id == n.cfg.Self.Instance || old != nil && old.addr == addr {
		return
	}
	if old != nil {
		old.stop()
	}
	l := newLink(n, id, addr)
	n.links[id] = l
	n.startLink(l)
}

// startLink runs a link until it is stopped. n.mu is held.
func (n *Network) startLink(l *link) {
	if n.group == nil {
		return // Start does it
	}
	ctx, cancel := context.WithCancel(n.group.Context())
	l.stop = cancel
	n.group.Go("peer link "+string(l.peer), func(context.Context) error {
		defer cancel()
		return l.run(ctx)
	})
}

// RemovePeer ends the connection to a peer.
func (n *Network) RemovePeer(id ident.InstanceID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l := n.links[id]; l != nil {
		l.stop()
		delete(n.links, id)
	}
}

// Connected reports whether the connection to a peer stands.
func (n *Network) Connected(id ident.InstanceID) bool {
	l := n.link(id)
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.up
}

func (n *Network) link(id ident.InstanceID) *link {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.links[id]
}

// Start adds the network's duties to g.
func (n *Network) Start(g *task.Group) {
	g.Go("peer listen", func(ctx context.Context) error { return n.listen(ctx) })
	n.mu.Lock()
	defer n.mu.Unlock()
	n.group = g
	for _, l := range n.links {
		n.startLink(l)
	}
}

// Peers returns the ids of the other instances.
func (n *Network) Peers() []ident.InstanceID {
	n.mu.RLock()
	defer n.mu.RUnlock()
	var ids []ident.InstanceID
	for id := range n.links {
		ids = append(ids, id)
	}
	return ids
}

// Send sends b to an instance without a reply. What cannot be sent is dropped.
func (n *Network) Send(to ident.InstanceID, b Body) {
	l := n.link(to)
	if l == nil {
		return
	}
	if frame, err := (Envelope{Body: b}).Encode(); err == nil {
		n.traffic.count(b, frame)
		_ = l.out.Push(frame) // dropped: the sender of such messages repeats them
	}
}

// Call sends b and waits for the reply. Errors: fault.NotLeader as sent by the
// other side, fault.Overloaded if nothing was sent, fault.NoQuorum if the call may
// have had its effect.
func (n *Network) Call(ctx context.Context, to ident.InstanceID, b Body) (Body, error) {
	l := n.link(to)
	if l == nil {
		return nil, fault.WithRan(fault.New(fault.Overloaded, "no instance is named %q", to), fault.RanNo)
	}
	return l.call(ctx, b)
}

// link is the outgoing connection to one instance.
type link struct {
	n    *Network
	peer ident.InstanceID
	addr string
	out  *queue.Queue[[]byte]
	stop context.CancelFunc // ends the link: the instance is no peer any more, or elsewhere

	mu      sync.Mutex
	nextID  uint64
	up      bool
	waiting map[uint64]chan Envelope
}

func (l *link) call(ctx context.Context, b Body) (Body, error) {
	c := make(chan Envelope, 1)
	l.mu.Lock()
	if !l.up {
		l.mu.Unlock()
		return nil, fault.New(fault.Overloaded, "no connection to %s", l.peer)
	}
	l.nextID++
	id := l.nextID
	l.waiting[id] = c
	l.mu.Unlock()
	defer l.drop(id)

	frame, err := (Envelope{CallID: id, Body: b}).Encode()
	if err != nil {
		return nil, err
	}
	l.n.traffic.count(b, frame)
	if err := l.out.Push(frame); err != nil {
		return nil, err
	}
	select {
	case e, ok := <-c:
		if !ok {
			return nil, fault.New(fault.NoQuorum, "connection to %s was lost", l.peer)
		}
		return unwrap(e.Body)
	case <-ctx.Done():
		return nil, fault.New(fault.NoQuorum, "no reply from %s: %v", l.peer, ctx.Err())
	}
}

// RemoteError is a failure that another instance replied with.
type RemoteError struct {
	Failure Failure
}

// Error returns the other instance's detail.
func (e *RemoteError) Error() string { return e.Failure.Detail }

func unwrap(b Body) (Body, error) {
	f, failed := b.(*Failure)
	if !failed {
		return b, nil
	}
	return nil, fault.Wrap(f.Kind, &RemoteError{Failure: *f})
}

func (l *link) drop(id uint64) {
	l.mu.Lock()
	delete(l.waiting, id)
	l.mu.Unlock()
}

func (l *link) setUp(up bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.up = up
	if up {
		return
	}
	for id, c := range l.waiting {
		close(c)
		delete(l.waiting, id)
	}
}

// run keeps the connection up until ctx ends.
func (l *link) run(ctx context.Context) error {
	wait := redialMin
	for ctx.Err() == nil {
		c, err := l.dial(ctx)
		if err == nil {
			began := time.Now()
			l.serve(ctx, c)
			if time.Since(began) > redialMax {
				wait = redialMin // it was a good connection
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
		wait = min(2*wait, redialMax)
	}
	return ctx.Err()
}

func (l *link) dial(ctx context.Context) (net.Conn, error) {
	c, err := tcp.Dial(ctx, l.addr, ConnectionOptions)
	if err != nil {
		return nil, err
	}
	if l.n.cfg.TLS != nil {
		c = tls.Client(c, l.n.cfg.TLS)
	}
	hello := l.n.cfg.Self
	frame, err := (Envelope{Body: &hello}).Encode()
	if err == nil {
		err = writeFrame(c, frame)
	}
	if err != nil {
		_ = c.Close() // the write's error is the one that counts
		return nil, err
	}
	return c, nil
}

func (l *link) serve(ctx context.Context, c net.Conn) {
	l.out.Drain(outputRing, func([]byte) {}) // frames of an earlier connection are stale
	l.n.cfg.Log.WithFields(logrus.Fields{"event": "link_up", "peer": l.peer, "address": l.addr}).Info("link up")
	l.setUp(true)
	defer l.setUp(false)
	g := task.New(ctx)
	g.Go("write", func(ctx context.Context) error { return writeLoop(ctx, c, l.out) })
	g.Go("read", func(context.Context) error { return l.read(c) })
	err := g.Wait()
	l.n.cfg.Log.WithFields(logrus.Fields{"event": "link_down", "peer": l.peer, "cause": err}).Info("link down")
}

// read hands replies to the calls that wait for them.
func (l *link) read(c net.Conn) error {
	r := bufio.NewReaderSize(c, bufferBytes)
	for {
		e, err := readEnvelope(r, MaxFrame)
		if err != nil {
			return err
		}
		l.mu.Lock()
		waiting := l.waiting[e.CallID]
		delete(l.waiting, e.CallID)
		l.mu.Unlock()
		if waiting != nil && e.Reply {
			waiting <- e
		}
	}
}

func readEnvelope(r *bufio.Reader, limit int) (Envelope, error) {
	payload, err := ReadFrame(r, limit)
	if err != nil {
		return Envelope{}, err
	}
	return Decode(payload)
}

func writeFrame(c net.Conn, frame []byte) error {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := c.Write(frame)
	return err
}

// writeLoop writes frames until ctx ends or a write fails; then it closes c,
// which ends the reader too.
func writeLoop(ctx context.Context, c net.Conn, out *queue.Queue[[]byte]) error {
	defer func() { _ = c.Close() }() // nothing is left to be flushed
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case frame := <-out.C():
			if err := writeFrame(c, gather(frame, out)); err != nil {
				return err
			}
		}
	}
}

// gather joins the waiting frames into one write.
func gather(first []byte, out *queue.Queue[[]byte]) []byte {
	if out.Len() == 0 {
		return first
	}
	joined := append([]byte(nil), first...)
	for len(joined) < bufferBytes {
		n := len(joined)
		out.Drain(1, func(f []byte) { joined = append(joined, f...) })
		if len(joined) == n {
			break
		}
	}
	return joined
}
