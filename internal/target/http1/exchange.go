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
	// maxInlineBytes is the size up to which a request is written before its response is
	// read. A larger one is written concurrently, because a target may respond before it
	// has read the whole request.
	maxInlineBytes = 8 << 10
	// maxUnmatched limits the responses read per request, including those to other requests, which are
	// skipped.
	maxUnmatched = 4
	// maxUnmatchedBytes limits the body of a skipped response.
	maxUnmatchedBytes = 1 << 20
)

var errUnmatched = errors.New("received only responses to other requests")

var _ io.ReadCloser = (*Response)(nil)

// Response is a target's response. Its body may be read to the end or closed early.
type Response struct {
	Status int
	Header http.Header
	// Framed is true if the body has a length or is chunked. Otherwise the body ends with
	// the connection, and an orderly close in the middle of it cannot be detected.
	Framed   bool
	exchange *exchange
	body     io.ReadCloser
	closes   bool // the target closes the connection after this response
	atEOF    bool
}

// exchange is one request and its response on a connection.
type exchange struct {
	client    *Client
	conn      *conn
	request   *Request
	written   chan error  // result of a concurrent write; nil if the write is complete
	stopWatch func() bool // cancels the closing of conn at the end of the context
}

func (x *exchange) run() (*Response, error) {
	wire := encode(x.request, x.client.opts.OneRequest)
	if len(wire) <= maxInlineBytes {
		if _, err := x.conn.net.Write(wire); err != nil {
			return nil, err
		}
	} else {
		x.written = make(chan error, 1)
		go func() {
			_, err := x.conn.net.Write(wire)
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

// read returns the response to the request. Interim responses, and responses to other
// requests, are skipped.
func (x *exchange) read() (*http.Response, error) {
	for range maxUnmatched {
		resp, err := x.conn.answers.Final(x.request.Method)
		if err != nil {
			return nil, err
		}
		if x.request.Matches == nil || x.request.Matches(resp.Header, !x.conn.used) {
			return resp, nil
		}
		if err := discard(resp); err != nil {
			return nil, err
		}
	}
	return nil, errUnmatched
}

// discard reads the body of a response to another request.
func discard(resp *http.Response) error {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return errUnmatched // the body extends to the end of the connection
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxUnmatchedBytes+1))
	if err == nil && n > maxUnmatchedBytes {
		err = errUnmatched
	}
	return err
}

// Read reads the body. An error other than io.EOF means that the body was cut off.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if err == io.EOF {
		r.atEOF = true
	}
	return n, err
}

// Close returns the connection to the pool if the response has been read to its end and the
// connection can be reused, and closes it otherwise. It always returns nil.
func (r *Response) Close() error {
	x := r.exchange
	x.conn.answers.Release()
	if !x.stopWatch() || !r.atEOF || !r.Framed || !x.requestWritten() || r.closes || x.conn.answers.Buffered() {
		x.conn.close()
		return nil
	}
	x.conn.used = true
	x.client.putIdle(x.conn, r.idleTimeout())
	return nil
}

// requestWritten reports whether the whole request has been written.
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

// idleTimeout returns how long the connection may stay idle: idleFraction of the target's
// Keep-Alive timeout, or the client's default.
func (r *Response) idleTimeout() time.Duration {
	for _, part := range strings.Split(r.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.ParseFloat(value, 64); strings.EqualFold(name, "timeout") && err == nil {
			return time.Duration(seconds * idleFraction * float64(time.Second))
		}
	}
	return r.exchange.client.opts.IdleTimeout
}

// encode returns the wire format of a request, which may be the last one on its connection.
func encode(r *Request, last bool) []byte {
	var b bytes.Buffer
	b.Grow(len(r.Body) + 512)
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URI, r.Host)
	_ = r.Header.Write(&b) // a bytes.Buffer returns no error
	if last {
		b.WriteString("Connection: close\r\n")
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead && r.Method != http.MethodDelete {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}
