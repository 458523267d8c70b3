// Package plain is an HTTP client that forwards requests to plain services, unchanged except for
// hop-by-hop headers.
//
// Each request uses a connection of its own. A response names no request, so on a connection that is used
// again, one that the service writes once more cannot be told from the response to the next request. Besides,
// the standard transport silently repeats some requests on reused connections, including every request with an
// Idempotency-Key, and only a separate connection shows whether a byte was sent.
package plain

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/internal/host/budget"
)

// Bounds of the protocol.
const (
	dialTimeout = 2 * time.Second
	// MaxResponseBytes is the maximum length of a response body.
	MaxResponseBytes = 32 << 20
)

// Request is a request to forward.
type Request struct {
	Method string
	Path   string // includes the query
	Header http.Header
	Body   []byte
}

// Response is a target's complete response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// hopByHopHeaders apply to a single connection and are not forwarded. Content-Length is among them
// because the sender sets it from the body.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// StripHopByHop returns a copy of h without hop-by-hop headers, including those that the Connection
// header lists.
func StripHopByHop(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = http.Header{}
	}
	for _, line := range h.Values("Connection") {
		for _, name := range strings.Split(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

// Client forwards requests to plain services. It is safe for concurrent use.
type Client struct {
	http   *http.Client
	memory *budget.Budget
}

// NewClient returns a client. What it reads of responses draws on memory, which may be nil.
func NewClient(memory *budget.Budget) *Client {
	d := &net.Dialer{Timeout: dialTimeout}
	return &Client{memory: memory, http: &http.Client{
		Transport:     &http.Transport{DialContext: d.DialContext, DisableKeepAlives: true, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Close closes connections that were opened and not used.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func newRequest(ctx context.Context, addr string, r Request) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+addr+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, fault.New(fault.BadRequest, "%v", err)
	}
	req.Header = StripHopByHop(r.Header)
	return req, nil
}

// SendIdempotent sends a request that may be repeated.
func (c *Client) SendIdempotent(ctx context.Context, addr string, r Request) (*Response, error) {
	req, err := newRequest(ctx, addr, r)
	if err != nil {
		return nil, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fault.New(fault.TargetFailed, "target %s: %v", addr, err)
	}
	return c.readAnswer(addr, resp)
}

func (c *Client) readAnswer(addr string, resp *http.Response) (*Response, error) {
	defer func() { _ = resp.Body.Close() }() // the body was read to its end or abandoned
	account := c.memory.Account(addr, budget.MinBuffer)
	defer account.Release()
	body, err := budget.ReadAll(resp.Body, MaxResponseBytes, &account)
	if err != nil {
		return nil, fault.New(fault.TargetFailed, "target %s: response abandoned after %d bytes: %v", addr, len(body), err)
	}
	return &Response{Status: resp.StatusCode, Header: StripHopByHop(resp.Header), Body: body}, nil
}

// SendOnce sends a request that may run at most once. It calls beforeSend immediately before the
// first byte and sends nothing if that returns an error. For an error, fault.ResponseOf
// reports whether the request ran: fault.RanNo only if no byte was sent.
func (c *Client) SendOnce(ctx context.Context, addr string, r Request, beforeSend func() error) (*Response, error) {
	req, err := newRequest(ctx, addr, r)
	if err != nil {
		return nil, fault.WithRan(err, fault.RanNo)
	}
	req.Close = true
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fault.WithRan(fault.New(fault.NoTarget, "target %s: %v", addr, err), fault.RanNo)
	}
	defer func() { _ = conn.Close() }() // only the response matters
	// The end of ctx aborts pending reads and writes.
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()

	var wire bytes.Buffer
	if err := req.Write(&wire); err != nil {
		return nil, fault.WithRan(fault.Wrap(fault.BadRequest, err), fault.RanNo)
	}
	if err := beforeSend(); err != nil {
		return nil, fault.WithRan(err, fault.RanNo)
	}
	if _, err := conn.Write(wire.Bytes()); err != nil {
		return nil, unknownOutcome(addr, err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), req)
	if err != nil {
		return nil, unknownOutcome(addr, err)
	}
	answer, err := c.readAnswer(addr, resp)
	if err != nil {
		return nil, unknownOutcome(addr, err)
	}
	return answer, nil
}

func unknownOutcome(addr string, err error) error {
	return fault.WithRan(fault.New(fault.OutcomeUnknown, "target %s: %v", addr, err), fault.RanUnknown)
}
