package http1

import (
	"bytes"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/host/budget"
)

// conn is a connection with the timer of its current timeout. Only the goroutine that reads it for the parser
// ends it without an answer.
type conn struct {
	net.Conn
	guard *Guard
	host  string // of the caller, the source of what it sends

	mu              sync.Mutex
	timer           *time.Timer
	serving         bool // a handler runs, and its answer ends the request
	used            bool // has carried a request
	awaitingRequest bool // no byte of the next request has arrived
	reading         bool // a read waits for bytes
	ending          bool // the parser receives no further byte, unless it is the first one of a request
	last            bool // the next answer ends the connection
	header          budget.Account
	headerBytes     ident.Bytes // memory for the header that is being read
}

// past is a read deadline that ends a pending read. Bytes that have arrived are returned first.
var past = time.Unix(1, 0)

// Read reads from the connection. The first byte of a request ends the idle timeout and starts the
// header timeout.
func (c *conn) Read(p []byte) (int, error) {
	if !c.beginRead() {
		_ = c.Conn.Close() // no handler runs
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Read(p)
	if !c.endRead(p[:n]) {
		return 0, net.ErrClosed
	}
	return n, err
}

// beginRead reports whether the parser may read.
func (c *conn) beginRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = !c.ending
	return c.reading
}

// endRead records that a read has returned bytes, and reports whether the parser may have them.
func (c *conn) endRead(p []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if len(p) == 0 || c.serving {
		return true
	}
	c.headerBytes += ident.Bytes(len(p)) + budget.HeaderLine*ident.Bytes(bytes.Count(p, []byte{'\n'}))
	if !c.header.Hold(c.headerBytes) {
		c.ending, c.awaitingRequest = true, false // no request has been read
		return false
	}
	if !c.awaitingRequest {
		return !c.ending
	}
	if c.ending { // the caller was a moment faster: its request is served
		c.ending, c.last = false, true
		_ = c.Conn.SetReadDeadline(time.Time{}) // fails on a closed connection, as the next read will
	}
	c.awaitingRequest = false
	c.startTimer(c.guard.limits().HeaderTimeout)
	return true
}

// requestRead records that a header was read and its handler starts.
func (c *conn) requestRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving, c.used, c.awaitingRequest = true, true, false
	c.last = c.last || c.ending
	c.ending = false
	c.stopTimer()
}

// stateChanged follows the connection's state in net/http. The connection becomes active only after
// a header was read; the handler stops the timer then.
func (c *conn) stateChanged(state http.ConnState) {
	switch state {
	case http.StateNew, http.StateIdle:
		c.awaitRequest()
	case http.StateHijacked, http.StateClosed:
		c.mu.Lock()
		c.stopTimer()
		c.mu.Unlock()
	}
}

func (c *conn) awaitRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving, c.awaitingRequest = false, true
	c.releaseHeader()
	stage := c.guard.current() // if it advances now, endIdle follows
	if stage >= gone || stage >= closing && c.used {
		c.end()
		return
	}
	c.startTimer(c.guard.limits().IdleTimeout)
}

// endIdle ends the connection if no byte of a request has arrived. Unused ones, which have carried no request,
// end only if that is asked for.
func (c *conn) endIdle(unused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.awaitingRequest && (c.used || unused) {
		c.end()
	}
}

// timedOut ends the connection, whose idle or header timeout has expired.
func (c *conn) timedOut() {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.serving:
	case c.awaitingRequest:
		c.end()
	default:
		c.ending = true
		if c.reading { // else the parser may have the rest of the header
			_ = c.Conn.Close() // the pending read fails
		}
	}
}

// end makes the pending or next read fail, unless the first byte of a request is there. c.mu is held.
func (c *conn) end() {
	c.ending = true
	if c.reading {
		_ = c.Conn.SetReadDeadline(past) // fails on a closed connection, whose read has ended
	}
}

// startTimer starts a timeout. c.mu is held.
func (c *conn) startTimer(limit time.Duration) {
	if c.timer != nil {
		c.timer.Reset(limit)
		return
	}
	c.timer = time.AfterFunc(limit, c.timedOut)
}

// stopTimer stops the current timeout. c.mu is held.
func (c *conn) stopTimer() {
	if c.timer != nil {
		c.timer.Stop()
	}
}

// releaseHeader forgets the header of the request before. c.mu is held.
func (c *conn) releaseHeader() {
	c.headerBytes = 0
	c.header.Release()
}

// endsWithAnswer reports whether the answer that begins ends the connection.
func (c *conn) endsWithAnswer() bool {
	if c.guard.current() >= leaving {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last
}

// Close closes the connection.
func (c *conn) Close() error {
	c.guard.remove(c)
	c.mu.Lock()
	c.releaseHeader()
	c.mu.Unlock()
	return c.Conn.Close()
}

// answer is a response that tells the caller if it ends the connection.
type answer struct {
	http.ResponseWriter
	conn  *conn
	begun bool
}

// WriteHeader sends the status and the headers.
func (a *answer) WriteHeader(status int) {
	if !a.begun && status >= http.StatusOK { // interim responses come before
		a.begun = true
		if a.conn.endsWithAnswer() {
			a.Header().Set("Connection", "close")
		}
	}
	a.ResponseWriter.WriteHeader(status)
}

// Write sends a part of the body, after the headers.
func (a *answer) Write(p []byte) (int, error) {
	if !a.begun {
		a.WriteHeader(http.StatusOK)
	}
	return a.ResponseWriter.Write(p)
}

// Flush sends what has been written.
func (a *answer) Flush() { _ = http.NewResponseController(a.ResponseWriter).Flush() } // the next write fails too

// Unwrap returns the response of net/http, for http.ResponseController.
func (a *answer) Unwrap() http.ResponseWriter { return a.ResponseWriter }
