package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/queue"
	"github.com/hickoryridge/hickoryridge/internal/task"
)

// acceptPause is the delay after a failed accept, for example for lack of file descriptors.
const acceptPause = 50 * time.Millisecond

// listen accepts and serves connections until ctx ends.
func (n *Network) listen(ctx context.Context) error {
	conns := task.New(ctx)
	conns.Go("accept", func(ctx context.Context) error {
		return n.accept(ctx, conns)
	})
	conns.Go("close listener", func(ctx context.Context) error {
		<-ctx.Done()
		return n.cfg.Listen.Close()
	})
	return conns.Wait()
}

func (n *Network) accept(ctx context.Context, conns *task.Group) error {
	for {
		c, err := n.cfg.Listen.Accept()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			time.Sleep(acceptPause)
			continue
		}
		conns.Go("connection", func(ctx context.Context) error {
			n.serveConn(ctx, c)
			return nil
		})
	}
}

// serveConn serves one incoming connection until it closes.
func (n *Network) serveConn(ctx context.Context, c net.Conn) {
	if n.cfg.TLS != nil {
		c = tls.Server(c, n.cfg.TLS)
	}
	in := &incoming{n: n, c: c, out: queue.New[[]byte]("peer replies", sendQueueSize), callSlots: make(chan struct{}, maxCallsPerConn)}
	g := task.New(ctx)
	g.Go("write", func(ctx context.Context) error { return writeLoop(ctx, c, in.out) })
	g.Go("read", func(ctx context.Context) error { return in.read(ctx, g) })
	err := g.Wait()
	if err == nil || errors.Is(err, io.EOF) {
		return
	}
	n.cfg.Log.WithFields(logrus.Fields{
		"event": "connection_end", "peer": in.peer, "remote": c.RemoteAddr().String(), "cause": err,
	}).Warn("connection ended")
}

// incoming is one accepted connection.
type incoming struct {
	n         *Network
	c         net.Conn
	peer      ident.InstanceID
	out       *queue.Queue[[]byte]
	callSlots chan struct{}
}

func (in *incoming) read(ctx context.Context, g *task.Group) error {
	r := bufio.NewReaderSize(in.c, bufferBytes)
	if err := in.hello(r); err != nil {
		return err
	}
	for {
		e, err := readEnvelope(r, MaxFrame)
		if err != nil {
			return err
		}
		if request, ok := e.Body.(*Connect); ok {
			return in.carry(ctx, r, e.CallID, request)
		}
		if e.CallID == 0 {
			_, _ = in.n.cfg.Handler(ctx, in.peer, e.Body) // a message without a call ID gets no reply
			continue
		}
		in.dispatch(g, e)
	}
}

func (in *incoming) hello(r *bufio.Reader) error {
	if err := in.c.SetReadDeadline(time.Now().Add(helloTimeout)); err != nil {
		return err
	}
	e, err := readEnvelope(r, MaxHello)
	if err != nil {
		return err
	}
	h, ok := e.Body.(*Hello)
	if !ok {
		return fault.New(fault.FrameInvalid, "the first message of the connection is not a Hello")
	}
	if !in.n.cfg.AcceptUnknown && in.n.link(h.Instance) == nil {
		return fault.New(fault.Unauthorized, "no instance is named %q", h.Instance)
	}
	in.peer = h.Instance
	return in.c.SetReadDeadline(time.Time{})
}

// dispatch runs one call concurrently with the others. It replies fault.Overloaded when
// maxCallsPerConn calls are running on the connection.
func (in *incoming) dispatch(g *task.Group, e Envelope) {
	select {
	case in.callSlots <- struct{}{}:
	default:
		in.reply(e.CallID, nil, fault.New(fault.Overloaded, "this connection has %d calls running, its limit", maxCallsPerConn))
		return
	}
	g.Go("call", func(ctx context.Context) error {
		defer func() { <-in.callSlots }()
		b, err := in.n.cfg.Handler(ctx, in.peer, e.Body)
		in.reply(e.CallID, b, err)
		return nil
	})
}

func (in *incoming) reply(call uint64, b Body, err error) {
	if err != nil {
		b = FailureOf(err)
	}
	if b == nil {
		b = &Done{}
	}
	frame, err := (Envelope{CallID: call, Reply: true, Body: b}).Encode()
	if err != nil {
		return // the calling side times out
	}
	in.n.traffic.count(b, frame)
	_ = in.out.Push(frame) // after a drop, the calling side times out
}

// FailureOf converts an error to a reply. The failure of a RemoteError is passed on unchanged.
func FailureOf(err error) *Failure {
	var remote *RemoteError
	if errors.As(err, &remote) {
		f := remote.Failure
		return &f
	}
	return &Failure{Kind: fault.KindOf(err), Detail: err.Error()}
}
