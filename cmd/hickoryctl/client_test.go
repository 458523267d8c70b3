package main

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/internal/cli"
)

// uploadBytes is more than the kernel keeps of a request that its instance does not read.
const uploadBytes = 8 << 20

// startBroken starts a control interface that gives the same answer to each request and then ends the connection.
func startBroken(t *testing.T, answer string, end func(*net.TCPConn)) (addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				if r.ContentLength < uploadBytes {
					_, _ = io.Copy(io.Discard, r.Body)
				}
				_, _ = io.WriteString(c, answer)
				end(c.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().String()
}

// TestBrokenAnswers guards against an operator who is told that a change was made though the answer to it is none.
func TestBrokenAnswers(t *testing.T) {
	whole := func(*net.TCPConn) {}
	reset := func(c *net.TCPConn) {
		time.Sleep(5 * time.Millisecond)
		_ = c.SetLinger(0)
	}
	for name, test := range map[string]struct {
		answer string
		body   int
		end    func(*net.TCPConn)
	}{
		"not HTTP":               {"\x00\x01 no answer\r\n\r\n", 4, whole},
		"status 000":             {"HTTP/1.1 000 OK\r\n\r\n{}", 4, whole},
		"only an interim one":    {"HTTP/1.1 102 Processing\r\n\r\n", 4, whole},
		"a redirection":          {"HTTP/1.1 304 Not Modified\r\n\r\n", 4, whole},
		"blank in a name":        {"HTTP/1.1 200 OK\r\nX Odd: 1\r\n\r\n{}", 4, whole},
		"blank behind a name":    {"HTTP/1.1 200 OK\r\nContent-Length : 1\r\n\r\n{}", 4, whole},
		"blank before a name":    {"HTTP/1.1 200 OK\r\nX-Odd: 1\r\n X-Odder: 2\r\n\r\n{}", 4, whole},
		"control byte in a name": {"HTTP/1.1 200 OK\r\nX-\x01Odd: 1\r\n\r\n{}", 4, whole},
		"head cut short":         {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n", 4, whole},
		"body cut short":         {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n{}", 4, whole},
		"body reset":             {"HTTP/1.1 200 OK\r\n\r\n{}", 4, reset},
		"reset during upload":    {"HTTP/1.1 200 OK\r\n\r\n{}", uploadBytes, reset},
	} {
		t.Run(name, func(t *testing.T) {
			const rounds = 10 // who is told of a reset is a matter of chance
			addr := startBroken(t, test.answer, test.end)
			for range rounds {
				var out, errs bytes.Buffer
				c := &client{control: addr, out: &out, errs: &errs}
				var v struct{}
				if status, ok := c.call(http.MethodPut, "/v1/desired", make([]byte, test.body), &v); ok || errs.Len() == 0 || exitCodeOf(status) != cli.ExitFailed {
					t.Fatalf("status %d, ok: %v, printed %q, want an error", status, ok, errs.String())
				}
			}
		})
	}
}
