// Package http1 speaks to callers by HTTP/1: it bounds the time that their connections take
// for a request's head and between requests.
//
// net/http has such bounds too, but fixes them when a server starts. These come with each
// configuration and hold at once, also on connections that are open.
package http1

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"
)

// Limits bounds what a connection may take.
type Limits struct {
	HeaderTimeout time.Duration // from a request's first byte until its head is there
	IdleTimeout   time.Duration // without a request
}

// Guard closes the connections of a server that exceed its limits.
type Guard struct {
	limits func() Limits
}

// NewGuard returns a guard that asks for the limits each time that one begins to count.
func NewGuard(limits func() Limits) *Guard { return &Guard{limits: limits} }

// Listener returns l with connections that the guard can watch.
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

// Attach makes s, which serves a listener of the guard and has not begun, tell the guard of
// its connections.
func (g *Guard) Attach(s *http.Server) {
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if c, ok := watched(c); ok {
			c.enter(state)
		}
	}
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	next := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(net.Conn); ok {
			if c, ok := watched(c); ok {
				c.stop()
			}
		}
		next.ServeHTTP(w, r)
	})
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// watched returns the connection below TLS, if it is one of a guard's.
func watched(c net.Conn) (*conn, bool) {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	w, ok := c.(*conn)
	return w, ok
}

// conn is a connection with the timer of the limit that counts.
type conn struct {
	net.Conn
	guard *Guard

	mu      sync.Mutex
	timer   *time.Timer
	waiting bool // for a request's first byte
}

// Read reads from the connection. The first byte of a request ends the idle time.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.began()
	}
	return n, err
}

func (c *conn) began() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting {
		c.waiting = false
		c.start(c.guard.limits().HeaderTimeout)
	}
}

// enter follows what net/http does with the connection. It becomes active only after a
// head was read, and then the handler stops the timer.
func (c *conn) enter(state http.ConnState) {
	switch state {
	case http.StateNew, http.StateIdle:
		c.mu.Lock()
		c.waiting = true
		c.start(c.guard.limits().IdleTimeout)
		c.mu.Unlock()
	case http.StateHijacked, http.StateClosed:
		c.stop()
	}
}

// start makes a limit count. c.mu is held.
func (c *conn) start(limit time.Duration) {
	if c.timer != nil {
		c.timer.Reset(limit)
		return
	}
	c.timer = time.AfterFunc(limit, func() { _ = c.Close() }) // the server's read finds it closed
}

func (c *conn) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = false
	if c.timer != nil {
		c.timer.Stop()
	}
}
