package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/internal/net/tcp"
	"github.com/hickoryridge/hickoryridge/internal/queue"
	"github.com/hickoryridge/hickoryridge/internal/task"
)

// Limits and timeouts of connections.
const (
	sendQueueSize     = 4096
	maxCallsPerConn   = 1024 // calls of one incoming connection that may run at a time
	dialTimeout       = 2 * time.Second
	unackedTimeout    = 2 * time.Second // time after which unacknowledged data closes a connection
	keepaliveInterval = 1 * time.Second
	helloTimeout      = 5 * time.Second
	writeTimeout      = 5 * time.Second
	redialMin         = 50 * time.Millisecond
	redialMax         = 1 * time.Second
	bufferBytes       = 64 << 10
)

// ConnectionOptions are the TCP timeouts of connections between instances.
var ConnectionOptions = tcp.Options{DialTimeout: dialTimeout, UserTimeout: unackedTimeout, ProbeInterval: keepaliveInterval}

// Handler processes a message of another instance and returns the reply. A nil body stands for
// Done; for a message without a call ID the result is ignored. Handlers run concurrently and must
// return when ctx ends.
type Handler func(ctx context.Context, from ident.InstanceID, b Body) (Body, error)

// Config holds the settings of a Network.
type Config struct {
	Self          Hello
	Listen        net.Listener
	Peers         map[ident.InstanceID]string // initial addresses of the other instances
	AcceptUnknown bool                        // accept connections from instances that are not peers
	TLS           *tls.Config                 // nil for plain TCP
	Handler       Handler
	Dial          Dialer // opens connections to targets for other instances; nil to carry none
	Log           *logrus.Entry
}

// Network manages the connections to and from the other instances. It is safe for concurrent use.
type Network struct {
	cfg     Config
	traffic traffic
	carried atomic.Int64 // connections to targets that are carried for other instances

	mu    sync.RWMutex
	links map[ident.InstanceID]*link
	group *task.Group // runs the links; nil before Start
}

// NewNetwork returns a network that connects when Start is called.
func NewNetwork(cfg Config) *Network {
	n := &Network{cfg: cfg, links: map[ident.InstanceID]*link{}}
	for id, addr := range cfg.Peers {
		n.links[id] = newLink(n, id, addr)
	}
	return n
}

func newLink(n *Network, id ident.InstanceID, addr string) *link {
	return &link{
		n: n, peer: id, addr: addr, stop: func() {}, downSince: clock.Now(),
		out:     queue.New[[]byte]("peer "+string(id), sendQueueSize),
		pending: map[uint64]chan Envelope{},
	}
}

// SetPeer adds a peer, or reconnects to it if its address has changed.
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

// startLink starts the task that runs a link until it is stopped. The caller holds n.mu.
func (n *Network) startLink(l *link) {
	if n.group == nil {
		return // Start starts it
	}
	ctx, cancel := context.WithCancel(n.group.Context())
	l.stop = cancel
	n.group.Go("peer link "+string(l.peer), func(context.Context) error {
		defer cancel()
		return l.run(ctx)
	})
}

// RemovePeer removes a peer and closes the connection to it.
func (n *Network) RemovePeer(id ident.InstanceID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l := n.links[id]; l != nil {
		l.stop()
		delete(n.links, id)
	}
}

// Connected reports whether the connection to a peer is up.
func (n *Network) Connected(id ident.InstanceID) bool {
	l := n.link(id)
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.connected
}

// DownSince returns the time since which there has been no connection to a peer. ok is false if there is one, or no such peer.
func (n *Network) DownSince(id ident.InstanceID) (since clock.Time, ok bool) {
	l := n.link(id)
	if l == nil {
		return 0, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.downSince, !l.connected
}

func (n *Network) link(id ident.InstanceID) *link {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.links[id]
}

// Start adds the network's background tasks to g.
func (n *Network) Start(g *task.Group) {
	g.Go("peer listen", func(ctx context.Context) error { return n.listen(ctx) })
	n.mu.Lock()
	defer n.mu.Unlock()
	n.group = g
	for _, l := range n.links {
		n.startLink(l)
	}
}

// Peers returns the IDs of the peers, in no particular order.
func (n *Network) Peers() []ident.InstanceID {
	n.mu.RLock()
	defer n.mu.RUnlock()
	var ids []ident.InstanceID
	for id := range n.links {
		ids = append(ids, id)
	}
	return ids
}

// Send queues b for an instance without expecting a reply. A message that cannot be queued is
// dropped.
func (n *Network) Send(to ident.InstanceID, b Body) {
	l := n.link(to)
	if l == nil {
		return
	}
	if frame, err := (Envelope{Body: b}).Encode(); err == nil {
		n.traffic.count(b, frame)
		_ = l.out.Push(frame) // when the queue is full, drop: senders repeat such messages
	}
}

// Call sends b and waits for the reply. A failure that the other side replies with is returned as a
// RemoteError with its kind, such as fault.NotLeader. Otherwise the error is fault.NoQuorum if the
// call may have taken effect. If nothing was sent, it is fault.Overloaded, or fault.TooLarge or
// fault.Internal if b cannot be encoded.
func (n *Network) Call(ctx context.Context, to ident.InstanceID, b Body) (Body, error) {
	l := n.link(to)
	if l == nil {
		return nil, fault.WithRan(fault.New(fault.Overloaded, "no instance is named %q", to), fault.RanNo)
	}
	return l.call(ctx, b)
}

// link maintains the outgoing connection to one instance.
type link struct {
	n    *Network
	peer ident.InstanceID
	addr string
	out  *queue.Queue[[]byte]
	stop context.CancelFunc // stops run, when the peer is removed or its address changes

	mu        sync.Mutex
	nextID    uint64
	connected bool
	downSince clock.Time // end of the latest connection, or the time at which the link was made
	pending   map[uint64]chan Envelope
}

func (l *link) call(ctx context.Context, b Body) (Body, error) {
	c := make(chan Envelope, 1)
	l.mu.Lock()
	if !l.connected {
		l.mu.Unlock()
		return nil, fault.New(fault.Overloaded, "no connection to %s", l.peer)
	}
	l.nextID++
	id := l.nextID
	l.pending[id] = c
	l.mu.Unlock()
	defer l.removeCall(id)

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

// RemoteError is the failure with which another instance replied.
type RemoteError struct {
	Failure Failure
}

// Error returns the detail text of the other instance.
func (e *RemoteError) Error() string { return e.Failure.Detail }

func unwrap(b Body) (Body, error) {
	f, failed := b.(*Failure)
	if !failed {
		return b, nil
	}
	return nil, fault.Wrap(f.Kind, &RemoteError{Failure: *f})
}

func (l *link) removeCall(id uint64) {
	l.mu.Lock()
	delete(l.pending, id)
	l.mu.Unlock()
}

func (l *link) setConnected(up bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connected = up
	if up {
		return
	}
	l.downSince = clock.Now()
	for id, c := range l.pending {
		close(c)
		delete(l.pending, id)
	}
}

// run connects and reconnects until ctx ends. The delay between attempts doubles up to redialMax.
func (l *link) run(ctx context.Context) error {
	wait := redialMin
	for ctx.Err() == nil {
		c, err := l.dial(ctx)
		if err == nil {
			began := time.Now()
			l.serve(ctx, c)
			if time.Since(began) > redialMax {
				wait = redialMin // the connection worked for a while
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
	if err := writeEnvelope(c, Envelope{Body: &hello}); err != nil {
		_ = c.Close() // the write error is returned instead
		return nil, err
	}
	return c, nil
}

func (l *link) serve(ctx context.Context, c net.Conn) {
	l.out.Drain(sendQueueSize, func([]byte) {}) // discard frames queued for an earlier connection
	l.n.cfg.Log.WithFields(logrus.Fields{"event": "link_up", "peer": l.peer, "address": l.addr}).Info("connected to peer")
	l.setConnected(true)
	defer l.setConnected(false)
	g := task.New(ctx)
	g.Go("write", func(ctx context.Context) error { return writeLoop(ctx, c, l.out) })
	g.Go("read", func(context.Context) error { return l.read(c) })
	err := g.Wait()
	l.n.cfg.Log.WithFields(logrus.Fields{"event": "link_down", "peer": l.peer, "cause": err}).Info("connection to peer closed")
}

// read delivers replies to their pending calls until the connection fails.
func (l *link) read(c net.Conn) error {
	r := bufio.NewReaderSize(c, bufferBytes)
	for {
		e, err := readEnvelope(r, MaxFrame)
		if err != nil {
			return err
		}
		l.mu.Lock()
		call := l.pending[e.CallID]
		delete(l.pending, e.CallID)
		l.mu.Unlock()
		if call != nil && e.Reply {
			call <- e
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

// writeEnvelope writes a message at once, past the queue of a connection.
func writeEnvelope(c net.Conn, e Envelope) error {
	frame, err := e.Encode()
	if err != nil {
		return err
	}
	return writeFrame(c, frame)
}

func writeFrame(c net.Conn, frame []byte) error {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := c.Write(frame)
	return err
}

// writeLoop writes queued frames until ctx ends or a write fails. It then closes c, which also
// stops the reader.
func writeLoop(ctx context.Context, c net.Conn, out *queue.Queue[[]byte]) error {
	defer func() { _ = c.Close() }() // no buffered data is lost
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case frame := <-out.C():
			if err := writeFrame(c, coalesce(frame, out)); err != nil {
				return err
			}
		}
	}
}

// coalesce appends queued frames to the first, up to about bufferBytes, to save system calls.
func coalesce(first []byte, out *queue.Queue[[]byte]) []byte {
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
