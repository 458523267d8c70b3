package http1

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// dial returns a connection to a server with a guard whose limits can be changed.
func dial(t *testing.T, limits *atomic.Pointer[Limits]) net.Conn {
	t.Helper()
	return dialGuard(t, NewGuard(func() Limits { return *limits.Load() }, nil))
}

// dialGuard returns a connection to a server with a guard.
func dialGuard(t *testing.T, g *Guard) net.Conn {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			time.Sleep(4 * short)
		}
		_, _ = io.WriteString(w, "ok") // the test reads it or fails
	})}
	g.Attach(s)
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(g.Listener(l)) }()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = c.Close()
		_ = s.Close()
		<-ended
	})
	return c
}

const (
	short = 50 * time.Millisecond
	long  = time.Minute
)

// closedByServer reports whether the server closes the connection without a response.
func closedByServer(c net.Conn) bool {
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	n, err := c.Read(make([]byte, 1))
	return n == 0 && err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// ask sends a request and checks its response.
func ask(t *testing.T, c net.Conn, path string) {
	t.Helper()
	if _, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "ok" {
		t.Fatalf("answer %q: %v", body, err)
	}
}

// TestGuard checks that connections without a request, with a partial header and idle after a
// request are closed, and that slow handlers and many requests do not count as idle.
func TestGuard(t *testing.T) {
	for name, test := range map[string]struct {
		limits Limits
		do     func(t *testing.T, c net.Conn)
		closed bool
	}{
		"no request": {Limits{HeaderTimeout: long, IdleTimeout: short}, func(*testing.T, net.Conn) {}, true},
		"partial header": {Limits{HeaderTimeout: short, IdleTimeout: long}, func(t *testing.T, c net.Conn) {
			if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHos"); err != nil {
				t.Fatal(err)
			}
		}, true},
		"idle after a request": {Limits{HeaderTimeout: long, IdleTimeout: short}, func(t *testing.T, c net.Conn) { ask(t, c, "/") }, true},
		"slow handler": {Limits{HeaderTimeout: short, IdleTimeout: long}, func(t *testing.T, c net.Conn) {
			ask(t, c, "/slow")
			ask(t, c, "/")
		}, false},
		"many requests": {Limits{HeaderTimeout: long, IdleTimeout: long}, func(t *testing.T, c net.Conn) {
			for range 20 {
				ask(t, c, "/"+strings.Repeat("x", 2000))
			}
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			var limits atomic.Pointer[Limits]
			limits.Store(&test.limits)
			c := dial(t, &limits)
			test.do(t, c)
			if !test.closed {
				ask(t, c, "/")
				return
			}
			if !closedByServer(c) {
				t.Error("connection was not closed")
			}
		})
	}
}

// TestGuardFollowsChanges shortens the idle timeout while a connection is open.
func TestGuardFollowsChanges(t *testing.T) {
	var limits atomic.Pointer[Limits]
	limits.Store(&Limits{HeaderTimeout: long, IdleTimeout: long})
	c := dial(t, &limits)
	ask(t, c, "/")
	limits.Store(&Limits{HeaderTimeout: long, IdleTimeout: short})
	ask(t, c, "/")
	if !closedByServer(c) {
		t.Error("connection was not closed")
	}
}
