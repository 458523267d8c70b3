// Package http1 speaks HTTP/1.1 to targets over kept connections and knows, for every
// request, whether it may have reached the target.
//
// The model. A connection carries one request at a time. The standard transport sends
// some requests again by itself when a kept connection turns out to be broken; this
// client never does. It reports one of four outcomes: an answer, a request of which no
// byte left (NotSentError), a request that may have been taken (UnknownError), or an
// answer that broke off while its body was read. What the answer means is for the
// caller to say.
//
// A connection is kept only after a whole answer with a known end, with the whole request
// written and no byte left over. Before it is used again the client looks whether bytes or an end have
// arrived unasked, and closes it then: such bytes belong to no request.
package http1

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/internal/net/tcp"
)

// Options bounds a client. Zero values mean the defaults.
type Options struct {
	Connection tcp.Options
	// IdleTimeout is how long a connection is kept unused where the target names no time.
	IdleTimeout time.Duration
	// MaxIdlePerTarget is the number of unused connections that are kept to one target.
	MaxIdlePerTarget int
}

// Defaults of Options.
var defaults = Options{
	Connection:       tcp.Options{DialTimeout: 600 * time.Millisecond, UserTimeout: 1500 * time.Millisecond, ProbeInterval: time.Second},
	IdleTimeout:      4 * time.Second,
	MaxIdlePerTarget: 32,
}

// idleFraction is the part of a target's idle timeout for which a connection is used
// again: the target counts from its own last byte, and closes a little early.
const idleFraction = 0.6

// Request is a request to a target.
type Request struct {
	Method string
	URI    string // path and query as they stand in the request line
	Host   string
	Header http.Header
	Body   []byte
	// Matches reports whether an answer with the given header belongs to this request. An
	// answer that does not is one that came late or twice, and is passed over. Nil takes
	// every answer.
	Matches func(http.Header) bool
}

// NotSentError says that no byte of a request left.
type NotSentError struct{ Err error }

// Error tells why.
func (e *NotSentError) Error() string { return "request was not sent: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// NoResponseError says that a request was sent at least in part and no answer came.
type NoResponseError struct{ Err error }

// Error tells why.
func (e *NoResponseError) Error() string { return "no answer: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *NoResponseError) Unwrap() error { return e.Err }

// Client keeps connections to targets. It is safe for concurrent use.
type Client struct {
	opts Options

	mu     sync.Mutex
	idle   map[string][]*conn // by address, the latest used last
	opened uint64
}

// New returns a client.
func New(o Options) *Client {
	if o.Connection == (tcp.Options{}) {
		o.Connection = defaults.Connection
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = defaults.IdleTimeout
	}
	if o.MaxIdlePerTarget == 0 {
		o.MaxIdlePerTarget = defaults.MaxIdlePerTarget
	}
	return &Client{opts: o, idle: map[string][]*conn{}}
}

// Opened returns the number of connections opened so far.
func (c *Client) Opened() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.opened
}

// CloseIdle closes the unused connections to a target.
func (c *Client) CloseIdle(addr string) {
	c.mu.Lock()
	conns := c.idle[addr]
	delete(c.idle, addr)
	c.mu.Unlock()
	for _, cn := range conns {
		cn.close()
	}
}

// Sweep closes connections that have been unused for too long.
func (c *Client) Sweep(now clock.Time) {
	var expired []*conn
	c.mu.Lock()
	for addr, conns := range c.idle {
		kept := conns[:0]
		for _, cn := range conns {
			if now.Before(cn.expires) {
				kept = append(kept, cn)
				continue
			}
			expired = append(expired, cn)
		}
		if len(kept) == 0 {
			delete(c.idle, addr)
			continue
		}
		c.idle[addr] = kept
	}
	c.mu.Unlock()
	for _, cn := range expired {
		cn.close()
	}
}

// Close closes every unused connection.
func (c *Client) Close() {
	c.mu.Lock()
	all := c.idle
	c.idle = map[string][]*conn{}
	c.mu.Unlock()
	for _, conns := range all {
		for _, cn := range conns {
			cn.close()
		}
	}
}

// takeIdle returns a kept connection to addr that is still sound, or nil.
func (c *Client) takeIdle(addr string) *conn {
	for {
		c.mu.Lock()
		conns := c.idle[addr]
		if len(conns) == 0 {
			c.mu.Unlock()
			return nil
		}
		cn := conns[len(conns)-1]
		c.idle[addr] = conns[:len(conns)-1]
		c.mu.Unlock()
		if clock.Now().Before(cn.expires) && cn.stillIdle() {
			return cn
		}
		cn.close()
	}
}

// putIdle puts a connection back that may carry another request.
func (c *Client) putIdle(cn *conn, idle time.Duration) {
	cn.expires = clock.Now().Add(idle)
	c.mu.Lock()
	full := len(c.idle[cn.addr]) >= c.opts.MaxIdlePerTarget
	if !full {
		c.idle[cn.addr] = append(c.idle[cn.addr], cn)
	}
	c.mu.Unlock()
	if full {
		cn.close()
	}
}

// connect returns a connection to addr, kept or new.
func (c *Client) connect(ctx context.Context, addr string) (*conn, error) {
	if cn := c.takeIdle(addr); cn != nil {
		return cn, nil
	}
	nc, err := tcp.Dial(ctx, addr, c.opts.Connection)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.opened++
	c.mu.Unlock()
	return newConn(addr, nc.(*net.TCPConn)), nil
}

// Do sends a request and returns its answer, whose body has to be closed. The end of ctx
// ends the request, also while the body is read. Errors: NotSentError and UnknownError.
func (c *Client) Do(ctx context.Context, addr string, r *Request) (*Response, error) {
	cn, err := c.connect(ctx, addr)
	if err != nil {
		return nil, &NotSentError{err}
	}
	if err := ctx.Err(); err != nil {
		c.putIdle(cn, c.opts.IdleTimeout)
		return nil, &NotSentError{err}
	}
	x := &exchange{client: c, conn: cn, request: r}
	x.stopWatch = context.AfterFunc(ctx, cn.close)
	answer, err := x.run()
	if err != nil {
		x.stopWatch()
		cn.close()
		return nil, &NoResponseError{err}
	}
	return answer, nil
}
