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
	// inlineBytes is the longest request that is written before its answer is read. A
	// longer one is written beside, since a target may answer before it has read it.
	inlineBytes = 8 << 10
	// maxStray bounds the answers to other requests that are passed over.
	maxStray = 4
	// maxStrayBytes bounds the body of one of them.
	maxStrayBytes = 1 << 20
)

var errStray = errors.New("answers belong to other requests")

var _ io.ReadCloser = (*Response)(nil)

// Response is a target's answer. Its body is read to the end or closed early.
type Response struct {
	Status int
	Header http.Header
	// Framed tells that the body's end is marked. One without a mark ends with the
	// connection, which may also have been cut in an orderly way.
	Framed bool
	x      *exchange
	body   io.ReadCloser
	last   bool // the connection ends with this answer
	ended  bool
}

// exchange is one request on a connection.
type exchange struct {
	client  *Client
	conn    *conn
	request *Request
	written chan error  // of a request that is written beside; nil if it was before
	stop    func() bool // ends the watch on the context
}

func (x *exchange) run() (*Response, error) {
	wire := encode(x.request)
	if len(wire) <= inlineBytes {
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
	return &Response{Status: resp.StatusCode, Header: resp.Header, Framed: framed, x: x, body: resp.Body, last: resp.Close}, nil
}

// read returns the answer to the request. Interim answers, and answers to other
// requests, are passed over.
func (x *exchange) read() (*http.Response, error) {
	x.conn.head.left = maxHead
	defer func() { x.conn.head.left = unbounded }()
	for range maxStray {
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
		x.conn.head.left = unbounded
		if err := skip(resp); err != nil {
			return nil, err
		}
		x.conn.head.left = maxHead
	}
	return nil, errStray
}

// skip reads over an answer to another request.
func skip(resp *http.Response) error {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return errStray // it takes the rest of the connection
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStrayBytes+1))
	if err == nil && n > maxStrayBytes {
		err = errStray
	}
	return err
}

// Read reads the body. An error other than io.EOF means that it broke off.
func (a *Response) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if err == io.EOF {
		a.ended = true
	}
	return n, err
}

// Close gives the connection back if the answer was read to its end, and ends it otherwise.
// It returns nil.
func (a *Response) Close() error {
	x := a.x
	if !x.stop() || !a.ended || !a.Framed || !x.whole() || a.last || x.conn.r.Buffered() > 0 {
		x.conn.close()
		return nil
	}
	x.client.keep(x.conn, a.idle())
	return nil
}

// whole reports whether the request has been written to its end.
func (x *exchange) whole() bool {
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

// idle returns how long the target keeps the connection, less a margin.
func (a *Response) idle() time.Duration {
	for _, part := range strings.Split(a.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.ParseFloat(value, 64); strings.EqualFold(name, "timeout") && err == nil {
			return time.Duration(seconds * idleMargin * float64(time.Second))
		}
	}
	return a.x.client.opts.IdleTimeout
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
