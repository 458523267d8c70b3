// Package http1 enforces timeouts on the HTTP/1 connections of callers: for reading a request's
// header and between requests.
//
// net/http has such timeouts too, but fixes them when a server starts. The timeouts here can change
// with each configuration and apply immediately, also to open connections.
package http1

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"
)

// Limits holds the timeouts of a connection.
type Limits struct {
	HeaderTimeout time.Duration // from a request's first byte to the end of its header
	IdleTimeout   time.Duration // without a request
}

// Guard closes connections of a server that exceed its limits. It is safe for concurrent use.
type Guard struct {
	limits func() Limits
}

// NewGuard returns a guard that calls limits whenever a timeout starts to run.
func NewGuard(limits func() Limits) *Guard { return &Guard{limits: limits} }

// Listener returns l with connections that the guard can monitor.
func (g *Guard) Listener(l net.Listener) net.Listener { return &listener{l, g} }

type listener struct {
	net.Listener
	guard *Guard
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, guard: l.guard}, nil
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
				c.stopTimer()
			}
		}
		next.ServeHTTP(w, r)
	})
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

// conn is a connection with the timer of its current timeout.
type conn struct {
	net.Conn
	guard *Guard

	mu              sync.Mutex
	timer           *time.Timer
	awaitingRequest bool // no byte of the next request has arrived
}

// Read reads from the connection. The first byte of a request ends the idle timeout and starts the
// header timeout.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.requestStarted()
	}
	return n, err
}

func (c *conn) requestStarted() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.awaitingRequest {
		c.awaitingRequest = false
		c.startTimer(c.guard.limits().HeaderTimeout)
	}
}

// stateChanged follows the connection's state in net/http. The connection becomes active only after
// a header was read; the handler stops the timer then.
func (c *conn) stateChanged(state http.ConnState) {
	switch state {
	case http.StateNew, http.StateIdle:
		c.mu.Lock()
		c.awaitingRequest = true
		c.startTimer(c.guard.limits().IdleTimeout)
		c.mu.Unlock()
	case http.StateHijacked, http.StateClosed:
		c.stopTimer()
	}
}

// startTimer starts a timeout. c.mu is held.
func (c *conn) startTimer(limit time.Duration) {
	if c.timer != nil {
		c.timer.Reset(limit)
		return
	}
	c.timer = time.AfterFunc(limit, func() { _ = c.Close() }) // the server's pending read fails
}

func (c *conn) stopTimer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitingRequest = false
	if c.timer != nil {
		c.timer.Stop()
	}
}
