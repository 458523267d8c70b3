package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"
)

const simpleRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// placedConn is a connection whose bytes a test places: a read returns what deliver passes to it. Once hold is
// set it does so also after its deadline or after Close, as for bytes that had arrived before.
type placedConn struct {
	reads    chan []byte
	deadline chan struct{} // closed when the read deadline has passed or the connection is closed, under hold
	answers  *io.PipeWriter

	mu    sync.Mutex
	hold  bool
	ended bool
}

func newPlacedConn() (*placedConn, *bufio.Reader) {
	r, w := io.Pipe()
	return &placedConn{reads: make(chan []byte), deadline: make(chan struct{}), answers: w}, bufio.NewReader(r)
}

// deliver makes the pending read return bytes, or fail if there are none.
func (c *placedConn) deliver(p string) { c.reads <- []byte(p) }

func (c *placedConn) Read(p []byte) (int, error) {
	b := <-c.reads
	if len(b) == 0 {
		return 0, os.ErrDeadlineExceeded
	}
	return copy(p, b), nil
}

// holdReads lets reads wait for deliver from now on.
func (c *placedConn) holdReads() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hold = true
}

// end records the end of reads. It reports whether a pending read returns at once.
func (c *placedConn) end() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hold && !c.ended {
		c.ended = true
		close(c.deadline)
	}
	return !c.hold
}

func (c *placedConn) SetReadDeadline(t time.Time) error {
	if t.Equal(past) && c.end() {
		c.deliver("")
	}
	return nil
}

func (c *placedConn) Close() error {
	c.end()
	return c.answers.Close()
}

func (c *placedConn) Write(p []byte) (int, error)      { return c.answers.Write(p) }
func (c *placedConn) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (c *placedConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (c *placedConn) SetDeadline(time.Time) error      { return nil }
func (c *placedConn) SetWriteDeadline(time.Time) error { return nil }

// oneConn is a listener that accepts one connection.
type oneConn struct {
	conns chan net.Conn
	done  chan struct{}
}

func (l *oneConn) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}
func (l *oneConn) Close() error   { return nil }
func (l *oneConn) Addr() net.Addr { return &net.TCPAddr{} }

// TestRequestCrossesTheEnd guards against a connection that is closed under a request whose bytes have just been
// read, when its idle timeout expires or the instance stops: the request ran, and nobody received its answer. It
// is answered, and the answer ends the connection.
func TestRequestCrossesTheEnd(t *testing.T) {
	for name, end := range map[string]func(g *Guard){
		"idle timeout": func(g *Guard) {
			for _, c := range g.advance(serving) {
				c.timedOut()
			}
		},
		"stop, connections closed": (*Guard).CloseIdle,
		"stop, last connections": func(g *Guard) {
			ended, cancel := context.WithCancel(context.Background())
			cancel()
			_ = g.Close(ended) // does not wait
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewGuard(func() Limits { return Limits{HeaderTimeout: long, IdleTimeout: long} }, nil)
			c, answers := newPlacedConn()
			serve(t, g, c)
			go c.deliver(simpleRequest)
			if resp, err := http.ReadResponse(answers, nil); err != nil || resp.Close {
				t.Fatalf("first request: %+v, %v", resp, err)
			} else if _, err := io.ReadAll(resp.Body); err != nil {
				t.Fatal(err)
			}
			g.awaitIdle()
			c.holdReads()
			end(g)
			<-c.deadline // the read is to end, but the request is there
			go c.deliver(simpleRequest)
			resp, err := http.ReadResponse(answers, nil)
			if err != nil || !resp.Close {
				t.Fatalf("%+v, %v, want an answer that ends the connection", resp, err)
			}
			if body, err := io.ReadAll(resp.Body); string(body) != "ok" || err != nil {
				t.Errorf("answer %q, %v", body, err)
			}
		})
	}
}

// awaitIdle waits until all connections wait for a further request.
func (g *Guard) awaitIdle() {
	for _, c := range g.advance(serving) {
		for !c.idle() {
			time.Sleep(time.Millisecond)
		}
	}
}

func (c *conn) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.awaitingRequest && c.used && c.reading
}

// serve serves c until the test ends.
func serve(t *testing.T, g *Guard, c *placedConn) {
	t.Helper()
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })}
	g.Attach(s)
	l := &oneConn{conns: make(chan net.Conn, 1), done: make(chan struct{})}
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(g.Listener(l)) }()
	l.conns <- c
	t.Cleanup(func() {
		close(l.done)
		<-ended
	})
}

// TestStages checks what becomes of connections in each stage of a stop.
func TestStages(t *testing.T) {
	for name, test := range map[string]struct {
		used   bool // the connection has carried a request
		enter  func(g *Guard)
		closed bool // it ends without an answer
	}{
		"leaving, new":            {false, (*Guard).Leave, false},
		"leaving, idle":           {true, (*Guard).Leave, false},
		"closing, new":            {false, (*Guard).CloseIdle, false},
		"closing, idle":           {true, (*Guard).CloseIdle, true},
		"gone, new":               {false, closeGuard, true},
		"gone, idle":              {true, closeGuard, true},
		"leaving, closing, idle":  {true, func(g *Guard) { g.Leave(); g.CloseIdle() }, true},
		"closing, leaving, idle":  {true, func(g *Guard) { g.CloseIdle(); g.Leave() }, true},
		"gone twice, then closed": {true, func(g *Guard) { closeGuard(g); closeGuard(g); g.CloseIdle() }, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewGuard(func() Limits { return Limits{HeaderTimeout: long, IdleTimeout: long} }, nil)
			c := dialGuard(t, g)
			if test.used {
				ask(t, c, "/")
			}
			time.Sleep(short) // lets the server wait for the next request
			test.enter(g)
			if test.closed {
				if !closedByServer(c) {
					t.Error("connection was not closed")
				}
				return
			}
			resp := send(t, c, simpleRequest)
			if !resp.Close || !closedByServer(c) {
				t.Error("the answer does not end the connection")
			}
		})
	}
}

// closeGuard closes a guard and waits until all connections have ended.
func closeGuard(g *Guard) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if err := g.Close(ctx); err != nil {
		panic(err)
	}
}

// TestCloseWaits checks that a request in progress delays the end, is answered, and ends its connection.
func TestCloseWaits(t *testing.T) {
	g := NewGuard(func() Limits { return Limits{HeaderTimeout: long, IdleTimeout: long} }, nil)
	c := dialGuard(t, g)
	if _, err := io.WriteString(c, strings.Replace(simpleRequest, "/", "/slow", 1)); err != nil {
		t.Fatal(err)
	}
	time.Sleep(short) // lets the server read the request
	ended, cancel := context.WithTimeout(t.Context(), short)
	defer cancel()
	if err := g.Close(ended); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("Close returned %v while a request was in progress", err)
	}
	closeGuard(g)
	if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || !resp.Close {
		t.Errorf("%+v, %v", resp, err)
	}
}

// send sends raw bytes and returns the answer.
func send(t *testing.T, c net.Conn, raw string) *http.Response {
	t.Helper()
	if _, err := io.WriteString(c, raw); err != nil {
		t.Fatal(err)
	}
	r := bufio.NewReader(c)
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(resp.Body); err != nil {
		t.Fatal(err)
	}
	return resp
}
