package http1

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// maxInlineBytes is the longest request that is written before its answer is read. A
	// longer one is written beside, since a target may answer before it has read it.
	maxInlineBytes = 8 << 10
	// maxUnmatched bounds the answers to other requests that are passed over.
	maxUnmatched = 4
	// maxUnmatchedBytes bounds the body of one of them.
	maxUnmatchedBytes = 1 << 20
)

var errUnmatched = errors.New("answers belong to other requests")

var _ io.ReadCloser = (*Response)(nil)

// Response is a target's answer. Its body is read to the end or closed early.
type Response struct {
	Status int
	Header http.Header
	// Framed tells that the body's end is marked. One without a mark ends with the
	// connection, which may also have been cut in an orderly way.
	Framed   bool
	exchange *exchange
	body     io.ReadCloser
	closes   bool // the connection ends with this answer
	atEOF    bool
}

// exchange is one request on a connection.
type exchange struct {
	client    *Client
	conn      *conn
	request   *Request
	written   chan error  // of a request that is written beside; nil if it was before
	stopWatch func() bool // ends the watch on the context
}

func (x *exchange) run() (*Response, error) {
	wire := encode(x.request)
	if len(wire) <= maxInlineBytes {
		if _, err := x.conn.tcp.Write(wire); err != nil {
			return nil, err
		}
	} else {
		x.written = make(chan error, 1)
		go func() {
			_, err := x.conn.tcp.Write(wire)
			x.written <- err
		}()
	}
	resp, err := x.read()
	if err != nil {
		return nil, err
	}
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	return &Response{Status: resp.StatusCode, Header: resp.Header, Framed: framed, exchange: x, body: resp.Body, closes: resp.Close}, nil
}

// read returns the answer to the request. Interim answers, and answers to other
// requests, are passed over.
func (x *exchange) read() (*http.Response, error) {
	x.conn.head.remaining = maxHeadBytes
	defer func() { x.conn.head.remaining = unbounded }()
	for range maxUnmatched {
		resp, err := http.ReadResponse(x.conn.r, &http.Request{Method: x.request.Method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		if x.request.Matches == nil || x.request.Matches(resp.Header) {
			return resp, nil
		}
		x.conn.head.remaining = unbounded
		if err := discard(resp); err != nil {
			return nil, err
		}
		x.conn.head.remaining = maxHeadBytes
	}
	return nil, errUnmatched
}

// discard reads over an answer to another request.
func discard(resp *http.Response) error {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return errUnmatched // it takes the rest of the connection
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxUnmatchedBytes+1))
	if err == nil && n > maxUnmatchedBytes {
		err = errUnmatched
	}
	return err
}

// Read reads the body. An error other than io.EOF means that it broke off.
func (a *Response) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if err == io.EOF {
		a.atEOF = true
	}
	return n, err
}

// Close gives the connection back if the answer was read to its end, and ends it otherwise.
// It returns nil.
func (a *Response) Close() error {
	x := a.exchange
	if !x.stopWatch() || !a.atEOF || !a.Framed || !x.requestWritten() || a.closes || x.conn.r.Buffered() > 0 {
		x.conn.close()
		return nil
	}
	x.client.putIdle(x.conn, a.idleTimeout())
	return nil
}

// requestWritten reports whether the request has been written to its end.
func (x *exchange) requestWritten() bool {
	if x.written == nil {
		return true
	}
	select {
	case err := <-x.written:
		return err == nil
	default:
		return false
	}
}

// idleTimeout returns how long the target keeps the connection, less a margin.
func (a *Response) idleTimeout() time.Duration {
	for _, part := range strings.Split(a.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.ParseFloat(value, 64); strings.EqualFold(name, "timeout") && err == nil {
			return time.Duration(seconds * idleFraction * float64(time.Second))
		}
	}
	return a.exchange.client.opts.IdleTimeout
}

// encode returns a request as it goes over the wire.
func encode(r *Request) []byte {
	var b bytes.Buffer
	b.Grow(len(r.Body) + 512)
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URI, r.Host)
	_ = r.Header.Write(&b) // a buffer takes everything
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead && r.Method != http.MethodDelete {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}
