// Package http1 is an HTTP/1.1 client with persistent connections that reports, for every
// request, whether the target may have received it.
//
// A connection carries one request at a time. Unlike net/http's Transport, which retries
// some requests by itself when a reused connection turns out to be broken, this client
// never retries. A request has one of four outcomes: a response, a request of which no
// byte was sent (NotSentError), a request that the target may have received
// (NoResponseError), or a response that is cut off while its body is read. How to
// interpret a response is left to the caller.
//
// A connection is reused only after a complete response with explicit framing, if the
// whole request has been written and no byte is left over. Before reuse the client checks
// whether the target has sent bytes or closed the connection in the meantime. If so, it
// closes the connection, because such bytes belong to no request.
//
// A faulty target may send a response once more, at the point where the next one is expected. A
// response is matched by its request's id, so it cannot be taken for that of another request. But
// calls of one request carry the same id. So each of them uses another connection (see Calls), and
// a request without an id uses one that has carried no request before.
package http1

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/internal/host/budget"
	"github.com/hickoryridge/hickoryridge/internal/net/tcp"
)

// Options configures a client. Zero values mean the defaults.
type Options struct {
	Connection tcp.Options
	// Dial opens a connection to a target. If it is nil, connections are opened directly, with the
	// options in Connection. A connection of another type than *tcp.Conn carries one request.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// Broken is called with the address of a connection on which a request got no response, unless the
	// context of the request had ended. It may be nil.
	Broken func(addr string)
	// IdleTimeout is how long an idle connection is kept if the target sends no Keep-Alive
	// timeout.
	IdleTimeout time.Duration
	// Heads bounds the memory for the heads of all responses. It may be nil.
	Heads *budget.Budget
	// MaxIdlePerTarget is the number of idle connections that are kept per target.
	MaxIdlePerTarget int
	// OneRequest makes each request use a connection of its own, and say so. No connection is kept.
	OneRequest bool
}

// ConnectionOptions are the timeouts of connections to targets.
var ConnectionOptions = defaults.Connection

// defaults are the default values of Options. A target may fall silent for a second or so and go on. The user
// timeout decides when unanswered probes end a connection, whatever their number: at the first probe that is due
// after it. So two probes fit into it.
var defaults = Options{
	Connection:       tcp.Options{DialTimeout: 600 * time.Millisecond, UserTimeout: 2500 * time.Millisecond, ProbeInterval: time.Second},
	IdleTimeout:      4 * time.Second,
	MaxIdlePerTarget: 32,
}

// idleFraction is the fraction of a target's Keep-Alive timeout within which a
// connection is reused. The target counts from its own last byte, and so closes the
// connection earlier than the client expects.
const idleFraction = 0.6

// Request is a request to a target.
type Request struct {
	Method string
	URI    string // path and query as in the request line
	Host   string
	Header http.Header
	Body   []byte
	// Matches reports whether a response with the given header belongs to this request. One
	// that does not is late or a duplicate, and is skipped. first is set if the connection has
	// carried no request before, so that it cannot be the response to another one. If Matches is
	// nil, every response is accepted.
	Matches func(h http.Header, first bool) bool
	// Calls records the calls of the request that this one belongs to; nil if it is the only one.
	Calls *Calls
	// BeforeSend is called immediately before the first byte is sent. If it returns an error, nothing is sent. It may be nil.
	BeforeSend func() error
}

// Calls records the connections that have carried calls of one request. The zero value is ready to use.
// It is not safe for concurrent use.
type Calls struct{ conns []connID }

// mayUse reports whether a response on an idle connection can only be that to r.
func (r *Request) mayUse(cn *conn) bool {
	if r.Matches == nil {
		return !cn.used
	}
	return r.Calls == nil || !slices.Contains(r.Calls.conns, cn.id)
}

// maySend returns an error if r must not be sent any more.
func (r *Request) maySend(ctx context.Context) error {
	if err := ctx.Err(); err != nil || r.BeforeSend == nil {
		return err
	}
	return r.BeforeSend()
}

// uses records that r goes on a connection.
func (r *Request) uses(cn *conn) {
	if r.Calls != nil {
		r.Calls.conns = append(r.Calls.conns, cn.id)
	}
}

// NotSentError reports that no byte of a request was sent, so that the target cannot have
// received it.
type NotSentError struct{ Err error }

// Error returns the message with its cause.
func (e *NotSentError) Error() string { return "request was not sent: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// NoResponseError reports that a request was sent at least in part and no response was
// received, so that the target may or may not have executed it.
type NoResponseError struct{ Err error }

// Error returns the message with its cause.
func (e *NoResponseError) Error() string { return "no response: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *NoResponseError) Unwrap() error { return e.Err }

// Client sends requests to targets and pools their connections. It is safe for concurrent
// use.
type Client struct {
	opts Options

	mu     sync.Mutex
	idle   map[string][]*conn // by address, most recently used last
	opened uint64
}

// New returns a client.
func New(o Options) *Client {
	if o.Connection == (tcp.Options{}) {
		o.Connection = defaults.Connection
	}
	if o.Dial == nil {
		o.Dial = func(ctx context.Context, addr string) (net.Conn, error) { return tcp.Dial(ctx, addr, o.Connection) }
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = defaults.IdleTimeout
	}
	switch {
	case o.OneRequest:
		o.MaxIdlePerTarget = 0
	case o.MaxIdlePerTarget == 0:
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

// CloseIdle closes the idle connections to a target.
func (c *Client) CloseIdle(addr string) {
	c.mu.Lock()
	conns := c.idle[addr]
	delete(c.idle, addr)
	c.mu.Unlock()
	for _, cn := range conns {
		cn.close()
	}
}

// Sweep closes connections whose idle timeout has expired at now.
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

// Close closes every idle connection. Requests in progress are not affected.
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

// takeIdle removes and returns an idle connection to addr that is still usable for r, or nil if
// there is none. It closes the unusable ones that it finds.
func (c *Client) takeIdle(addr string, r *Request) *conn {
	for {
		cn := c.popIdle(addr, r)
		if cn == nil || clock.Now().Before(cn.expires) && cn.stillIdle() {
			return cn
		}
		cn.close()
	}
}

// popIdle removes and returns the idle connection to addr that was used last of those that r may use. It
// returns nil if there is none.
func (c *Client) popIdle(addr string, r *Request) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.idle[addr]
	for i := len(conns) - 1; i >= 0; i-- {
		if cn := conns[i]; r.mayUse(cn) {
			c.idle[addr] = slices.Delete(conns, i, i+1)
			return cn
		}
	}
	return nil
}

// putIdle returns a connection to the pool for at most the given time, or closes it if the
// pool is full.
func (c *Client) putIdle(cn *conn, idle time.Duration) {
	if !cn.reusable() {
		cn.close()
		return
	}
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

// Connect opens a new connection to addr and keeps it for a request.
func (c *Client) Connect(ctx context.Context, addr string) error {
	cn, err := c.open(ctx, addr)
	if err != nil {
		return err
	}
	c.putIdle(cn, c.opts.IdleTimeout)
	return nil
}

// connect returns an idle connection to addr for r, or opens a new one.
func (c *Client) connect(ctx context.Context, addr string, r *Request) (*conn, error) {
	if cn := c.takeIdle(addr, r); cn != nil {
		return cn, nil
	}
	return c.open(ctx, addr)
}

// open opens a connection to addr.
func (c *Client) open(ctx context.Context, addr string) (*conn, error) {
	nc, err := c.opts.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.opened++
	id := connID(c.opened)
	c.mu.Unlock()
	return newConn(id, addr, nc, c.opts.Heads), nil
}

// Do sends a request and returns its response, which must be closed. Cancelling ctx aborts
// the request, also while the body is read. The error is a *NotSentError or a
// *NoResponseError.
func (c *Client) Do(ctx context.Context, addr string, r *Request) (*Response, error) {
	cn, err := c.connect(ctx, addr, r)
	if err != nil {
		return nil, &NotSentError{err}
	}
	if err := r.maySend(ctx); err != nil {
		c.putIdle(cn, c.opts.IdleTimeout)
		return nil, &NotSentError{err}
	}
	r.uses(cn)
	x := &exchange{client: c, conn: cn, request: r}
	x.stopWatch = context.AfterFunc(ctx, cn.close)
	response, err := x.run()
	if err != nil {
		x.stopWatch()
		cn.close()
		cn.answers.Release()
		if c.opts.Broken != nil && ctx.Err() == nil {
			c.opts.Broken(addr)
		}
		return nil, &NoResponseError{err}
	}
	return response, nil
}
