// Package plain speaks to plain services: it forwards requests as they are.
//
// A request that may be repeated goes over pooled connections. One that may not
// goes over a connection of its own, because the standard transport silently
// repeats some requests on reused connections, among them every request with an
// Idempotency-Key, and because only a connection of one's own tells whether a
// byte has left.
package plain

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/hickoryridge/hickoryridge/fault"
)

// Bounds of the plain protocol.
const (
	dialTimeout     = 2 * time.Second
	idleConnTimeout = 30 * time.Second
	maxIdlePerHost  = 64
	// MaxResponseBytes is the longest answer body in bytes that is passed on.
	MaxResponseBytes = 32 << 20
)

// Request is a request to forward.
type Request struct {
	Method string
	Path   string // with the query
	Header http.Header
	Body   []byte
}

// Response is a target's whole answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// hopHeaders are meant for one connection and not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// StripHopByHop returns a copy of h without the headers of one connection, which it may name
// itself.
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
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}

// Client forwards requests to plain services.
type Client struct {
	http *http.Client
}

// NewClient returns a client.
func NewClient() *Client {
	d := &net.Dialer{Timeout: dialTimeout}
	return &Client{http: &http.Client{
		Transport: &http.Transport{
			DialContext: d.DialContext, MaxIdleConnsPerHost: maxIdlePerHost,
			IdleConnTimeout: idleConnTimeout, DisableCompression: true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func build(ctx context.Context, addr string, r Request) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+addr+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, fault.New(fault.BadRequest, "%v", err)
	}
	req.Header = StripHopByHop(r.Header)
	return req, nil
}

// SendIdempotent sends a request that may be sent again.
func (c *Client) SendIdempotent(ctx context.Context, addr string, r Request) (*Response, error) {
	req, err := build(ctx, addr, r)
	if err != nil {
		return nil, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fault.New(fault.TargetFailed, "target %s: %v", addr, err)
	}
	return readAnswer(addr, resp)
}

func readAnswer(addr string, resp *http.Response) (*Response, error) {
	defer func() { _ = resp.Body.Close() }() // read to its end or given up
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxResponseBytes+1))
	if err != nil {
		return nil, fault.New(fault.TargetFailed, "target %s: answer cut after %d bytes: %v", addr, len(body), err)
	}
	if len(body) > MaxResponseBytes {
		return nil, fault.New(fault.TargetFailed, "target %s: answer of more than %d bytes", addr, MaxResponseBytes)
	}
	return &Response{Status: resp.StatusCode, Header: StripHopByHop(resp.Header), Body: body}, nil
}

// SendOnce sends a request that may run at most once. It asks may directly before the
// first byte. An error says with fault.AnswerOf whether the request ran: RanNo
// only if no byte has left.
func (c *Client) SendOnce(ctx context.Context, addr string, r Request, may func() error) (*Response, error) {
	req, err := build(ctx, addr, r)
	if err != nil {
		return nil, fault.WithRan(err, fault.RanNo)
	}
	req.Close = true
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fault.WithRan(fault.New(fault.NoTarget, "target %s: %v", addr, err), fault.RanNo)
	}
	defer func() { _ = conn.Close() }() // the answer is what counts
	// The end of ctx ends reads and writes that are under way.
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()

	var wire bytes.Buffer
	if err := req.Write(&wire); err != nil {
		return nil, fault.WithRan(fault.Wrap(fault.BadRequest, err), fault.RanNo)
	}
	if err := may(); err != nil {
		return nil, fault.WithRan(err, fault.RanNo)
	}
	if _, err := conn.Write(wire.Bytes()); err != nil {
		return nil, unknown(addr, err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), req)
	if err != nil {
		return nil, unknown(addr, err)
	}
	answer, err := readAnswer(addr, resp)
	if err != nil {
		return nil, unknown(addr, err)
	}
	return answer, nil
}

func unknown(addr string, err error) error {
	return fault.WithRan(fault.New(fault.OutcomeUnknown, "target %s: %v", addr, err), fault.RanUnknown)
}
