// Package plain is an HTTP client that forwards requests to plain services, unchanged except for
// hop-by-hop headers.
//
// Each request uses a connection of its own. A response names no request, so on a connection that is used
// again, one that the service writes once more cannot be told from the response to the next request.
package plain

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/internal/host/budget"
	"github.com/hickoryridge/hickoryridge/internal/net/tcp"
	"github.com/hickoryridge/hickoryridge/internal/target/http1"
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
	http   *http1.Client
	memory *budget.Budget
}

// NewClient returns a client. What it reads of responses draws on memory, which may be nil.
func NewClient(memory *budget.Budget) *Client {
	return &Client{memory: memory, http: http1.New(http1.Options{
		Connection: tcp.Options{DialTimeout: dialTimeout}, Heads: memory, OneRequest: true,
	})}
}

// newRequest returns a request to a service as it is sent.
func newRequest(addr string, r Request) (*http1.Request, error) {
	checked, err := http.NewRequest(r.Method, "http://"+addr+r.Path, nil)
	if err != nil {
		return nil, fault.New(fault.BadRequest, "%v", err)
	}
	return &http1.Request{Method: checked.Method, URI: checked.URL.RequestURI(), Host: checked.Host, Header: StripHopByHop(r.Header), Body: r.Body}, nil
}

// SendIdempotent sends a request that may be repeated.
func (c *Client) SendIdempotent(ctx context.Context, addr string, r Request) (*Response, error) {
	req, err := newRequest(addr, r)
	if err != nil {
		return nil, err
	}
	answer, err := c.send(ctx, addr, req)
	if err != nil {
		return nil, fault.New(fault.TargetFailed, "target %s: %v", addr, err)
	}
	return answer, nil
}

// send sends a request and reads its whole response.
func (c *Client) send(ctx context.Context, addr string, req *http1.Request) (*Response, error) {
	resp, err := c.http.Do(ctx, addr, req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Close() }() // never fails
	account := c.memory.Account(addr, budget.MinBuffer)
	defer account.Release()
	body, err := budget.ReadAll(resp, MaxResponseBytes, &account)
	if err != nil {
		return nil, fmt.Errorf("response abandoned after %d bytes: %w", len(body), err)
	}
	return &Response{Status: resp.Status, Header: StripHopByHop(resp.Header), Body: body}, nil
}

// SendOnce sends a request that may run at most once. It calls beforeSend immediately before the
// first byte and sends nothing if that returns an error. For an error, fault.ResponseOf
// reports whether the request ran: fault.RanNo only if no byte was sent.
func (c *Client) SendOnce(ctx context.Context, addr string, r Request, beforeSend func() error) (*Response, error) {
	req, err := newRequest(addr, r)
	if err != nil {
		return nil, fault.WithRan(err, fault.RanNo)
	}
	var withheld error
	req.BeforeSend = func() error {
		withheld = beforeSend()
		return withheld
	}
	answer, err := c.send(ctx, addr, req)
	var notSent *http1.NotSentError
	switch {
	case err == nil:
		return answer, nil
	case withheld != nil:
		return nil, fault.WithRan(withheld, fault.RanNo)
	case errors.As(err, &notSent):
		return nil, fault.WithRan(fault.New(fault.NoTarget, "target %s: %v", addr, err), fault.RanNo)
	default:
		return nil, fault.WithRan(fault.New(fault.OutcomeUnknown, "target %s: %v", addr, err), fault.RanUnknown)
	}
}
