package fenced

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/fault"
)

// startReceiver starts a receiver that gives the same answer to each request and then ends the connection.
func startReceiver(t *testing.T, answer string, end func(*net.TCPConn)) (addr string) {
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
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(c, answer)
				end(c.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().String()
}

// TestBrokenAnswers guards against a call that counts as accepted, or refused, though its receiver gave an answer that is none.
func TestBrokenAnswers(t *testing.T) {
	whole := func(*net.TCPConn) {}
	reset := func(c *net.TCPConn) {
		time.Sleep(5 * time.Millisecond)
		_ = c.SetLinger(0)
	}
	for name, test := range map[string]struct {
		answer string
		end    func(*net.TCPConn)
	}{
		"not HTTP":               {"\x00\x01 no answer\r\n\r\n", whole},
		"status 000":             {"HTTP/1.1 000 OK\r\nContent-Length: 4\r\n\r\npart", whole},
		"blank in a name":        {"HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 4\r\n\r\npart", whole},
		"blank behind a name":    {"HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\npart", whole},
		"blank before a name":    {"HTTP/1.1 200 OK\r\nX-Odd: 1\r\n X-Odder: 2\r\nContent-Length: 4\r\n\r\npart", whole},
		"control byte in a name": {"HTTP/1.1 200 OK\r\nX-\x01Odd: 1\r\nContent-Length: 4\r\n\r\npart", whole},
		"head cut short":         {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n", whole},
		"body cut short":         {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\npart", whole},
		"body reset":             {"HTTP/1.1 200 OK\r\n\r\npart", reset},
		"an endless body":        {"HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", 4<<20), func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) }},
		"only an interim one":    {"HTTP/1.1 102 Processing\r\n\r\n", whole},
		"many interim ones":      {strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 1000), whole},
		"an endless head":        {"HTTP/1.1 200 OK\r\n" + strings.Repeat("X: y\r\n", 100_000), whole},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			answer, err := Send(ctx, startReceiver(t, test.answer, test.end), []byte(request), func() bool { return true })
			if err == nil || fault.ResponseOf(err).Ran != fault.RanUnknown || ctx.Err() != nil {
				t.Errorf("%+v, %v, want an unknown outcome at once", answer, err)
			}
		})
	}
}

// TestLongText guards against an answer that does not count because of its long text.
func TestLongText(t *testing.T) {
	addr := startReceiver(t, "HTTP/1.1 503 Not Now\r\n\r\n"+strings.Repeat("x", 100<<10), func(*net.TCPConn) {})
	answer, err := Send(t.Context(), addr, []byte(request), func() bool { return true })
	if err != nil || answer.Status != http.StatusServiceUnavailable || len(answer.Text) != maxText {
		t.Errorf("%+v, %v", answer, err)
	}
}

// TestInterimAnswer guards against an interim answer that is taken for the final one.
func TestInterimAnswer(t *testing.T) {
	addr := startReceiver(t, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 503 Not Now\r\nContent-Length: 2\r\n\r\nno", func(*net.TCPConn) {})
	answer, err := Send(t.Context(), addr, []byte(request), func() bool { return true })
	if err != nil || answer.Status != http.StatusServiceUnavailable || string(answer.Text) != "no" {
		t.Errorf("%+v, %v, want the status 503", answer, err)
	}
}
