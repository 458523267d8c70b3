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

// acceptPause is the wait after a failed accept, such as for want of files.
const acceptPause = 50 * time.Millisecond

// listen accepts connections until ctx ends.
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

// serveConn answers one incoming connection until it ends.
func (n *Network) serveConn(ctx context.Context, c net.Conn) {
	if n.cfg.TLS != nil {
		c = tls.Server(c, n.cfg.TLS)
	}
	in := &incoming{n: n, c: c, out: queue.New[[]byte]("peer replies", outputRing), slots: make(chan struct{}, maxCalls)}
	g := task.New(ctx)
	g.Go("write", func(ctx context.Context) error { return writeLoop(ctx, c, in.out) })
	g.Go("read", func(ctx context.Context) error { return in.read(ctx, g) })
	err := g.Wait()
	if err == nil || errors.Is(err, io.EOF) {
		return
	}
	n.cfg.Log.WithFields(logrus.Fields{
		"event": "connection_end", "peer": in.from, "remote": c.RemoteAddr().String(), "cause": err,
	}).Warn("connection ended")
}

// incoming is one accepted connection.
type incoming struct {
	n     *Network
	c     net.Conn
	from  ident.InstanceID
	out   *queue.Queue[[]byte]
	slots chan struct{}
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
		if e.CallID == 0 {
			_, _ = in.n.cfg.Handler(ctx, in.from, e.Body) // nobody waits for the outcome
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
		return fault.New(fault.FrameInvalid, "connection did not begin with a hello")
	}
	if !in.n.cfg.AcceptUnknown && in.n.link(h.Instance) == nil {
		return fault.New(fault.Unauthorized, "no instance is named %q", h.Instance)
	}
	in.from = h.Instance
	return in.c.SetReadDeadline(time.Time{})
}

// dispatch runs one call beside the others, within the connection's bound.
func (in *incoming) dispatch(g *task.Group, e Envelope) {
	select {
	case in.slots <- struct{}{}:
	default:
		in.reply(e.CallID, nil, fault.New(fault.Overloaded, "%d calls are running", maxCalls))
		return
	}
	g.Go("call", func(ctx context.Context) error {
		defer func() { <-in.slots }()
		b, err := in.n.cfg.Handler(ctx, in.from, e.Body)
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
		return // the caller's time runs out
	}
	in.n.traffic.count(b, frame)
	_ = in.out.Push(frame) // likewise
}

// FailureOf turns an error into the reply that carries it.
func FailureOf(err error) *Failure {
	var remote *RemoteError
	if errors.As(err, &remote) {
		f := remote.Failure
		return &f
	}
	return &Failure{Kind: fault.KindOf(err), Detail: err.Error()}
}
