// Package http1 ends the HTTP/1 connections of callers: those that exceed a timeout, and all of them when the
// instance stops.
//
// A caller may send a request at the moment at which its connection is closed. If the request has been read
// by then, it runs, and nobody receives its answer. So a connection ends in one of two ways only. Either its
// answer ends it, which says so with Connection: close. Or the read that waits for the next request ends
// without any byte, so that there is no request. A connection that is being read or served is never closed
// under the request. net/http by itself does close such a connection: it takes one for idle until a header has
// been parsed.
//
// net/http also has timeouts, but fixes them when a server starts. The timeouts here can change with each
// configuration and apply immediately, also to open connections.
package http1

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/hickoryridge/hickoryridge/internal/host/budget"
)

// Limits holds the timeouts of a connection.
type Limits struct {
	HeaderTimeout time.Duration // from a request's first byte to the end of its header
	IdleTimeout   time.Duration // without a request
}

// stage is a stage in the life of a Guard. A guard passes them in this order.
type stage uint8

const (
	serving stage = iota
	leaving       // answers end their connections
	closing       // idle connections end too
	gone          // connections that have carried no request end too
)

// Guard ends connections of a server, and bounds what callers send on them. It is safe for concurrent use.
type Guard struct {
	limits func() Limits
	memory *budget.Budget

	mu    sync.Mutex
	stage stage
	conns map[*conn]struct{}
	empty chan struct{} // closed when the last connection ends at the stage gone
}

// NewGuard returns a guard that calls limits whenever a timeout starts to run. The headers and bodies of requests
// draw on memory, which may be nil, until they are answered.
func NewGuard(limits func() Limits, memory *budget.Budget) *Guard {
	return &Guard{limits: limits, memory: memory, conns: map[*conn]struct{}{}, empty: make(chan struct{})}
}

// Listener returns l with connections that the guard can monitor.
func (g *Guard) Listener(l net.Listener) net.Listener { return &listener{l, g} }

type listener struct {
	net.Listener
	guard *Guard
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc, guard: l.guard, host: hostOf(nc)}
	c.header = l.guard.memory.Account(c.host, freeHeaderBytes)
	l.guard.add(c)
	return c, nil
}

// Attach connects s to the guard. It must be called before s starts to serve a listener of the
// guard.
func (g *Guard) Attach(s *http.Server) {
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if c, ok := guardedConn(c); ok {
			c.stateChanged(state)
		}
	}
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	next := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(net.Conn); ok {
			if c, ok := guardedConn(c); ok {
				c.requestRead()
				w = &answer{ResponseWriter: w, conn: c}
				body := g.memory.Account(c.host, freeBodyBytes)
				defer body.Release()
				r.Body = &countedBody{ReadCloser: r.Body, account: &body}
			}
		}
		next.ServeHTTP(w, r)
	})
}

// Leave makes each further answer end its connection.
func (g *Guard) Leave() { g.advance(leaving) }

// CloseIdle also ends the connections that wait for a further request, now and from now on. A new connection
// still carries one request.
func (g *Guard) CloseIdle() {
	for _, c := range g.advance(closing) {
		c.endIdle(false)
	}
}

// Close ends all connections that carry no request, and waits until the others have ended with their answers. The
// server must not accept connections any more. It returns the error of ctx if that ends first.
func (g *Guard) Close(ctx context.Context) error {
	for _, c := range g.advance(gone) {
		c.endIdle(true)
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-g.empty:
		return nil
	}
}

// advance enters a stage and returns the open connections.
func (g *Guard) advance(to stage) []*conn {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stage = max(g.stage, to)
	g.checkEmpty()
	all := make([]*conn, 0, len(g.conns))
	for c := range g.conns {
		all = append(all, c)
	}
	return all
}

// current returns the stage that the guard is in.
func (g *Guard) current() stage {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stage
}

func (g *Guard) add(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.conns[c] = struct{}{}
}

func (g *Guard) remove(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, c)
	g.checkEmpty()
}

// checkEmpty ends the wait of Close if no connection is open. g.mu is held.
func (g *Guard) checkEmpty() {
	if g.stage < gone || len(g.conns) > 0 {
		return
	}
	select {
	case <-g.empty:
	default:
		close(g.empty)
	}
}

// connKey is the context key of a request's connection.
type connKey struct{}

// guardedConn returns the connection below TLS and whether a guard monitors it.
func guardedConn(c net.Conn) (*conn, bool) {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	guarded, ok := c.(*conn)
	return guarded, ok
}
