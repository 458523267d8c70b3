package peer

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/net/tcp"
)

// An instance that is cut off from a target reaches it through another one. It opens a connection for each
// request to a target and sends Connect on it. The other instance opens a connection to the target and
// carries the bytes between the two. Nothing of the request is read there, so whatever is true of a
// direct connection stays true.
//
// Bytes to the target are carried as they are. Those from the target come in chunks, each after its
// length, and a chunk of length 0 marks that the target has ended the connection properly. So an
// answer that ends with its connection is not taken for complete when the carrying instance
// crashes, or the target resets the connection.

const (
	// carryTimeout bounds the time to open a connection through another instance: many round trips between
	// regions.
	carryTimeout = 300 * time.Millisecond
	// carriedUnackedTimeout is the time after which unacknowledged data closes a carried connection. It is longer
	// than that of other connections, as a caller that reads slowly stops the flow.
	carriedUnackedTimeout = 10 * time.Second
	// maxCarried bounds the connections that an instance carries at a time.
	maxCarried = 512
	// chunkBytes is the longest chunk.
	chunkBytes = 16 << 10
	// chunkHeadBytes is the length of the length of a chunk.
	chunkHeadBytes = 4
)

// Connect asks an instance to open a connection to a target and to carry the rest of this one. It is the
// first message after Hello and is replied to by Done, or by a Failure after which the connection
// closes.
type Connect struct {
	Address string `msgpack:"address"` // as announced by the target
}

func (*Connect) kind() kind { return kindConnect }

// Dialer opens a connection to a target at an address that it checks first. Its Read returns io.EOF only if the target has
// ended the connection, also while something is written; see tcp.Conn.
type Dialer func(ctx context.Context, addr string) (net.Conn, error)

// errNotCarried reports that an instance carries no connections.
var errNotCarried = fault.New(fault.BadRequest, "this instance carries no connections to targets")

// Connect opens a connection to a target through another instance. A failure of the other instance to connect
// is returned as a RemoteError. No byte has reached the target if an error is returned.
func (n *Network) Connect(ctx context.Context, through ident.InstanceID, addr string) (net.Conn, error) {
	l := n.link(through)
	if l == nil {
		return nil, fault.New(fault.Overloaded, "no instance is named %q", through)
	}
	ctx, cancel := context.WithTimeout(ctx, carryTimeout)
	defer cancel()
	c, err := l.dial(ctx)
	if err != nil {
		return nil, err
	}
	r := bufio.NewReaderSize(c, chunkBytes)
	if err := requestConnect(ctx, c, r, addr); err != nil {
		_ = c.Close() // the error is returned instead
		return nil, err
	}
	return &carried{Conn: c, r: r}, nil
}

// requestConnect sends Connect and reads the reply.
func requestConnect(ctx context.Context, c net.Conn, r *bufio.Reader, addr string) error {
	deadline, _ := ctx.Deadline()
	if err := writeEnvelope(c, Envelope{CallID: 1, Body: &Connect{Address: addr}}); err != nil {
		return err
	}
	if err := c.SetDeadline(deadline); err != nil {
		return err
	}
	e, err := readEnvelope(r, MaxFrame)
	if err != nil {
		return err
	}
	if _, err := unwrap(e.Body); err != nil {
		return err
	}
	return c.SetDeadline(time.Time{})
}

// carried is a connection to a target that another instance carries. It delivers the target's bytes, and
// io.EOF only where the target has ended the connection.
type carried struct {
	net.Conn
	r     *bufio.Reader
	left  int  // bytes of the chunk that have not been read
	ended bool // the chunk of length 0 has come
}

// Read reads bytes of the target.
func (c *carried) Read(p []byte) (int, error) {
	if c.left == 0 && !c.ended {
		if err := c.nextChunk(); err != nil {
			return 0, err
		}
	}
	if c.ended {
		return 0, io.EOF
	}
	n, err := c.r.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, notEnded(err)
}

func (c *carried) nextChunk() error {
	var head [chunkHeadBytes]byte
	if _, err := io.ReadFull(c.r, head[:]); err != nil {
		return notEnded(err)
	}
	length := binary.BigEndian.Uint32(head[:])
	if length > chunkBytes {
		return fault.New(fault.FrameInvalid, "chunk of %d bytes, at most %d are allowed", length, chunkBytes)
	}
	c.left = int(length)
	c.ended = length == 0
	return nil
}

// notEnded replaces the end of the carrying connection: the target has not ended its own.
func notEnded(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// carry serves a connection on which Connect came: it connects to the target, replies and carries bytes until
// either side ends.
func (in *incoming) carry(ctx context.Context, r *bufio.Reader, call uint64, request *Connect) error {
	t, err := in.n.dialFor(ctx, request)
	if err != nil {
		if err := in.replyNow(call, FailureOf(err)); err != nil {
			return err
		}
		return io.EOF // as below
	}
	defer func() { _ = t.Close() }() // the target sees that the caller has left
	if err := in.replyNow(call, &Done{}); err != nil {
		return err
	}
	if raw, ok := in.c.(*net.TCPConn); ok {
		if err := tcp.SetUserTimeout(raw, carriedUnackedTimeout); err != nil {
			return err
		}
	}
	stop := context.AfterFunc(ctx, func() { _ = t.Close() }) // ends both directions
	defer stop()
	sent := make(chan error, 1)
	go func() {
		_, err := io.Copy(t, r)
		_ = t.Close() // the caller has left: the target stops its work
		sent <- err
	}()
	_ = sendChunks(in.c, t) // the reader sees whether the target has ended the connection
	_ = in.c.Close()        // ends the other direction
	<-sent
	return io.EOF // ends the connection's other tasks
}

// Carried returns the number of connections to targets that this instance carries for others.
func (n *Network) Carried() int { return int(n.carried.Load()) }

// dialFor opens a connection to a target for another instance.
func (n *Network) dialFor(ctx context.Context, request *Connect) (net.Conn, error) {
	if n.cfg.Dial == nil {
		return nil, errNotCarried
	}
	if n.carried.Add(1) > maxCarried {
		n.carried.Add(-1)
		return nil, fault.New(fault.Overloaded, "this instance carries %d connections, its limit", maxCarried)
	}
	ctx, cancel := context.WithTimeout(ctx, carryTimeout)
	defer cancel()
	c, err := n.cfg.Dial(ctx, request.Address)
	if err != nil {
		n.carried.Add(-1)
		return nil, err
	}
	return &counted{Conn: c, count: &n.carried}, nil
}

// replyNow writes a reply at once, before bytes of the target.
func (in *incoming) replyNow(call uint64, b Body) error {
	if err := writeEnvelope(in.c, Envelope{CallID: call, Reply: true, Body: b}); err != nil {
		return err
	}
	return in.c.SetWriteDeadline(time.Time{})
}

// sendChunks sends the bytes of a target in chunks. It marks the end only if the target ended the connection
// properly.
func sendChunks(w io.Writer, t io.Reader) error {
	buf := make([]byte, chunkHeadBytes+chunkBytes)
	writeChunk := func(n int) error {
		binary.BigEndian.PutUint32(buf, uint32(n))
		_, err := w.Write(buf[:chunkHeadBytes+n])
		return err
	}
	for {
		n, err := t.Read(buf[chunkHeadBytes:])
		if n > 0 {
			if err := writeChunk(n); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return writeChunk(0)
		}
		if err != nil {
			return err
		}
	}
}

// counted is a connection that counts until it is closed.
type counted struct {
	net.Conn
	count *atomic.Int64
	once  sync.Once
}

// Close closes the connection. Only the first call counts.
func (c *counted) Close() error {
	c.once.Do(func() { c.count.Add(-1) })
	return c.Conn.Close()
}
