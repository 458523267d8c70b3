package http1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/internal/net/answer"
)

// target is a fake target that responds to each request with the next of its scripts.
type target struct {
	t        *testing.T
	addr     string
	requests chan *http.Request
	accepted chan net.Conn
}

// script responds to a request that was read from a connection. It reports whether the
// connection stays open.
type script func(c net.Conn, r *http.Request) bool

func newTarget(t *testing.T, scripts ...script) *target {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	tg := &target{t: t, addr: l.Addr().String(), requests: make(chan *http.Request, 100), accepted: make(chan net.Conn, 100)}
	t.Cleanup(func() { _ = l.Close() })
	next := make(chan script, len(scripts))
	for _, s := range scripts {
		next <- s
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			tg.accepted <- c
			go tg.serve(c, next)
		}
	}()
	return tg
}

func (tg *target) serve(c net.Conn, next chan script) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		tg.requests <- req
		if s := <-next; !s(c, req) {
			return
		}
	}
}

// send writes raw bytes, in which ID is replaced by the request's ID.
func send(raw string) script {
	return func(c net.Conn, r *http.Request) bool {
		_, _ = io.WriteString(c, strings.ReplaceAll(raw, "ID", r.Header.Get("Id")))
		return true
	}
}

// sendAndEnd writes raw bytes and closes the connection.
func sendAndEnd(raw string) script {
	return func(c net.Conn, r *http.Request) bool {
		send(raw)(c, r)
		return false
	}
}

// reset closes the connection with a TCP reset.
func reset(c net.Conn, _ *http.Request) bool {
	_ = c.(*net.TCPConn).SetLinger(0)
	return false
}

const okResponse = "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 2\r\n\r\nok"

func newRequest(id string) *Request {
	return &Request{
		Method: http.MethodPost, URI: "/a?b=c", Host: "host.example", Header: http.Header{"Id": {id}}, Body: []byte("body"),
		Matches: func(h http.Header, _ bool) bool { return h.Get("Id") == id },
	}
}

// outcome sends a request and describes its outcome.
func outcome(t *testing.T, c *Client, addr, id string) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	response, err := c.Do(ctx, addr, newRequest(id))
	var notSent *NotSentError
	var noResponse *NoResponseError
	switch {
	case errors.As(err, &notSent):
		return "not sent"
	case errors.As(err, &noResponse):
		return "unknown"
	case err != nil:
		return err.Error()
	}
	defer func() { _ = response.Close() }()
	body, err := io.ReadAll(response)
	if err != nil {
		return fmt.Sprintf("broken after %d", len(body))
	}
	return fmt.Sprintf("%d %s", response.Status, body)
}

// TestOutcomes checks the outcome of responses that a client can easily misinterpret: cut,
// duplicated or unmatched ones, and connections that cannot be reused.
func TestOutcomes(t *testing.T) {
	for name, test := range map[string]struct {
		scripts []script
		want    []string // outcomes of consecutive requests
		conns   int      // number of connections that the target accepts
	}{
		"reused":               {[]script{send(okResponse), send(okResponse)}, []string{"200 ok", "200 ok"}, 1},
		"chunked":              {[]script{send("HTTP/1.1 200 OK\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"), send(okResponse)}, []string{"200 ok", "200 ok"}, 1},
		"chunked, cut":         {[]script{sendAndEnd("HTTP/1.1 200 OK\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"), send(okResponse)}, []string{"broken after 2", "200 ok"}, 2},
		"shorter than length":  {[]script{sendAndEnd("HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 9\r\n\r\nok"), send(okResponse)}, []string{"broken after 2", "200 ok"}, 2},
		"no length":            {[]script{sendAndEnd("HTTP/1.1 200 OK\r\nId: ID\r\n\r\nok"), send(okResponse)}, []string{"200 ok", "200 ok"}, 2},
		"reset":                {[]script{reset, send(okResponse)}, []string{"unknown", "200 ok"}, 2},
		"closed":               {[]script{sendAndEnd(""), send(okResponse)}, []string{"unknown", "200 ok"}, 2},
		"not HTTP":             {[]script{sendAndEnd("\x00\x01 this is no answer\r\n\r\n"), send(okResponse)}, []string{"unknown", "200 ok"}, 2},
		"connection: close":    {[]script{send("HTTP/1.1 200 OK\r\nId: ID\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"), send(okResponse)}, []string{"200 ok", "200 ok"}, 2},
		"keep-alive timeout 0": {[]script{send("HTTP/1.1 200 OK\r\nId: ID\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok"), send(okResponse)}, []string{"200 ok", "200 ok"}, 2},
		"trailing bytes":       {[]script{send(okResponse + "xx"), send(okResponse)}, []string{"200 ok", "200 ok"}, 2},
		"late response first":  {[]script{send("HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 3\r\n\r\nold" + okResponse)}, []string{"200 ok"}, 1},
		"only a late response": {[]script{sendAndEnd("HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 3\r\n\r\nold")}, []string{"unknown"}, 1},
		"interim responses":    {[]script{send("HTTP/1.1 103 Early Hints\r\n\r\n" + okResponse)}, []string{"200 ok"}, 1},
		"error status":         {[]script{send("HTTP/1.1 500 Oops\r\nId: ID\r\nContent-Length: 2\r\n\r\nno")}, []string{"500 no"}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			tg := newTarget(t, test.scripts...)
			c := New(Options{})
			defer c.Close()
			for i, want := range test.want {
				time.Sleep(20 * time.Millisecond) // lets unsolicited bytes of the target arrive
				if got := outcome(t, c, tg.addr, fmt.Sprint("r", i)); got != want {
					t.Errorf("request %d: %s, want %s", i, got, want)
				}
			}
			if n := len(tg.requests); n != len(test.want) {
				t.Errorf("the target received %d requests, want %d: none may be retried", n, len(test.want))
			}
			if n := len(tg.accepted); n != test.conns {
				t.Errorf("the target accepted %d connections, want %d", n, test.conns)
			}
		})
	}
}

// TestRepeatedResponse guards against a response that is taken for that to a later request, because the target
// wrote it once more: to a request without an id, and to another call of the same request.
func TestRepeatedResponse(t *testing.T) {
	respond := func(body string) script {
		return send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n" + body)
	}
	repeat := func(c net.Conn, r *http.Request) bool {
		respond("old")(c, r)
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return false // another connection is used
		}
		respond("old")(c, r)
		return respond("new")(c, r)
	}
	var calls Calls
	for name, r := range map[string]*Request{
		"no id":        {Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}},
		"same request": {Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}, Calls: &calls, Matches: func(http.Header, bool) bool { return true }},
	} {
		t.Run(name, func(t *testing.T) {
			tg := newTarget(t, repeat, respond("new"))
			c := New(Options{})
			defer c.Close()
			for _, want := range []string{"old", "new"} {
				response, err := c.Do(t.Context(), tg.addr, r)
				if err != nil {
					t.Fatal(err)
				}
				body, err := io.ReadAll(response)
				_ = response.Close()
				if string(body) != want || err != nil {
					t.Errorf("response %q, %v, want %q", body, err, want)
				}
			}
		})
	}
}

// TestClosedWhileKept checks that a request is not sent over an idle connection that the
// target has closed or written to in the meantime.
func TestClosedWhileKept(t *testing.T) {
	for name, after := range map[string]func(c net.Conn){
		"closed":     func(c net.Conn) { _ = c.Close() },
		"stray byte": func(c net.Conn) { _, _ = c.Write([]byte("x")) },
		"extra response": func(c net.Conn) {
			_, _ = io.WriteString(c, strings.ReplaceAll(okResponse, "ID", "r0"))
		},
	} {
		t.Run(name, func(t *testing.T) {
			tg := newTarget(t, send(okResponse), send(okResponse))
			c := New(Options{})
			defer c.Close()
			if got := outcome(t, c, tg.addr, "r0"); got != "200 ok" {
				t.Fatal(got)
			}
			after(<-tg.accepted)
			time.Sleep(50 * time.Millisecond)
			if got := outcome(t, c, tg.addr, "r1"); got != "200 ok" {
				t.Error(got)
			}
			if n := len(tg.accepted); n != 1 {
				t.Errorf("%d new connections, want 1", n)
			}
		})
	}
}

// TestNotSent checks that a refused connection is reported as NotSentError, and not as a
// request that the target may have received.
func TestNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	_ = l.Close()
	c := New(Options{})
	defer c.Close()
	if got := outcome(t, c, addr, "r"); got != "not sent" {
		t.Error(got)
	}
}

// TestCancelled checks that cancelling the context closes the connection, so that the
// target can abort the request.
func TestCancelled(t *testing.T) {
	ended := make(chan error, 1)
	tg := newTarget(t, func(c net.Conn, _ *http.Request) bool {
		_, err := c.Read(make([]byte, 1))
		ended <- err
		return false
	})
	c := New(Options{})
	defer c.Close()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-tg.requests
		cancel()
	}()
	var noResponse *NoResponseError
	if _, err := c.Do(ctx, tg.addr, newRequest("r")); !errors.As(err, &noResponse) {
		t.Errorf("%v", err)
	}
	select {
	case err := <-ended:
		if err == nil {
			t.Error("the target received a byte instead of the end of the connection")
		}
	case <-time.After(5 * time.Second):
		t.Error("the connection stayed open")
	}
}

// TestEarlyAnswer checks that a connection is not reused if the target responds before it
// has read the whole request.
func TestEarlyAnswer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				buf := make([]byte, 1<<10)
				n, _ := io.ReadAtLeast(conn, buf, 100)
				id := "r1"
				if strings.Contains(string(buf[:n]), "Id: r0") {
					id = "r0"
				}
				_, _ = io.WriteString(conn, strings.ReplaceAll(okResponse, "ID", id))
				time.Sleep(time.Second)
			}()
		}
	}()
	c := New(Options{})
	defer c.Close()
	for i := range 2 {
		r := newRequest(fmt.Sprint("r", i))
		r.Body = make([]byte, 8<<20) // more than the kernel buffers
		response, err := c.Do(t.Context(), l.Addr().String(), r)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadAll(response); err != nil {
			t.Fatal(err)
		}
		_ = response.Close()
	}
	if n := c.Opened(); n != 2 {
		t.Errorf("opened %d connections, want 2", n)
	}
}

// TestSweep checks that idle connections are closed when their timeout expires, not before.
func TestSweep(t *testing.T) {
	tg := newTarget(t, send(okResponse))
	c := New(Options{})
	if got := outcome(t, c, tg.addr, "r0"); got != "200 ok" {
		t.Fatal(got)
	}
	c.Sweep(clock.Now())
	if len(c.idle[tg.addr]) != 1 {
		t.Error("a connection was closed before its idle timeout")
	}
	c.Sweep(clock.Now().Add(time.Minute))
	if len(c.idle) != 0 {
		t.Error("a connection was kept after its idle timeout")
	}
}

// TestEndlessHead checks that the client gives up on a response whose head does not end
// after a bounded number of bytes, long before the request's deadline.
func TestEndlessHead(t *testing.T) {
	for name, test := range map[string]struct{ begin, again string }{
		"a status line":     {"HTTP/1.1 200 ", "x"},
		"one header":        {"HTTP/1.1 200 OK\r\nX: ", "x"},
		"many headers":      {"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
		"not HTTP":          {"", "\x00"},
		"interim responses": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"headers after one": {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n", "X: y\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			sent := make(chan int, 1)
			tg := newTarget(t, func(c net.Conn, _ *http.Request) bool {
				n, _ := io.WriteString(c, test.begin)
				chunk := strings.Repeat(test.again, 1024)
				for n < 64*int(answer.MaxHeadBytes) {
					m, err := io.WriteString(c, chunk)
					n += m
					if err != nil {
						break
					}
				}
				sent <- n
				return false
			})
			c := New(Options{})
			defer c.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
			defer cancel()
			if _, err := c.Do(ctx, tg.addr, newRequest("a")); err == nil || ctx.Err() != nil {
				t.Errorf("response head was accepted, or read until the deadline: %v", err)
			}
			if n := <-sent; n >= 64*int(answer.MaxHeadBytes) {
				t.Errorf("client read %d bytes", n)
			}
		})
	}
}
