package engine

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/fault"
)

// startEngine starts an engine that gives the same answer to each request and then ends the connection.
func startEngine(t *testing.T, answer string, end func(*net.TCPConn)) (addr string) {
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
				_, _ = io.WriteString(c, strings.ReplaceAll(answer, "ID", r.Header.Get(HeaderRequestID)))
				end(c.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().String()
}

// events is the body of a stream with one token.
const events = `data: {"id":"ID","offset":0,"choices":[{"delta":{"content":"x"},"finish_reason":"stop"}]}` + "\n\ndata: [DONE]\n\n"

// prefilled is the body of an answer to a prompt that is processed apart.
const prefilled = `{"id":"ID","kv_transfer_params":{"handover":{"address":"a","id":"h","tokens":1}}}`

// TestBrokenAnswers guards against answers that are broken and count as an engine's answer.
func TestBrokenAnswers(t *testing.T) {
	whole := func(*net.TCPConn) {}
	reset := func(c *net.TCPConn) {
		time.Sleep(5 * time.Millisecond)
		_ = c.SetLinger(0)
	}
	for name, test := range map[string]struct {
		head string // before the body
		cut  int    // bytes of the body that are missing
		end  func(*net.TCPConn)
	}{
		"not HTTP":               {"\x00\x01 no answer\r\n\r\n", 0, whole},
		"status 000":             {"HTTP/1.1 000 OK\r\n\r\n", 0, whole},
		"blank in a name":        {"HTTP/1.1 200 OK\r\nX Odd: 1\r\n\r\n", 0, whole},
		"blank behind a name":    {"HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\n", 0, whole},
		"blank before a name":    {"HTTP/1.1 200 OK\r\nX-Odd: 1\r\n X-Odder: 2\r\n\r\n", 0, whole},
		"control byte in a name": {"HTTP/1.1 200 OK\r\nX-\x01Odd: 1\r\n\r\n", 0, whole},
		"head cut short":         {"HTTP/1.1 200 OK\r\nX-Last", 1000, whole},
		"body cut short":         {"HTTP/1.1 200 OK\r\n\r\n", 20, whole},
		"body reset":             {"HTTP/1.1 200 OK\r\n\r\n", 20, reset},
	} {
		t.Run(name, func(t *testing.T) {
			c := NewClient(time.Second)
			serve := func(body string) string {
				return startEngine(t, test.head+body[:max(0, len(body)-test.cut)], test.end)
			}
			call := Call{Attempt: "a1", Request: &Request{Model: "m", MaxTokens: 4}}
			var a Answer
			if err := c.Stream(t.Context(), serve(events), call, &a, func(string) error { return nil }); !fault.Is(err, fault.TargetFailed) || a.Done() {
				t.Errorf("stream: %v, complete: %v, want a failure of the target", err, a.Done())
			}
			if h, err := c.Prefill(t.Context(), serve(prefilled), call); !fault.Is(err, fault.TargetFailed) {
				t.Errorf("prompt processed apart: %+v, %v, want a failure of the target", h, err)
			}
			if s, err := c.State(t.Context(), serve(`{"role":"mixed","model":"m","running":1}`)); !fault.Is(err, fault.TargetFailed) {
				t.Errorf("state: %+v, %v, want a failure of the target", s, err)
			}
		})
	}
}

// TestSoundAnswers checks the answers that are broken in TestBrokenAnswers.
func TestSoundAnswers(t *testing.T) {
	for name, head := range map[string]string{
		"no length":     "HTTP/1.1 200 OK\r\n\r\n",
		"after interim": "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c := NewClient(time.Second)
			serve := func(body string) string { return startEngine(t, head+body, func(*net.TCPConn) {}) }
			call := Call{Attempt: "a1", Request: &Request{Model: "m", MaxTokens: 4}}
			var a Answer
			if err := c.Stream(t.Context(), serve(events), call, &a, func(string) error { return nil }); err != nil || a.Text() != "x" {
				t.Errorf("stream: %q, %v", a.Text(), err)
			}
			if h, err := c.Prefill(t.Context(), serve(prefilled), call); err != nil || h.ID != "h" {
				t.Errorf("prompt processed apart: %+v, %v", h, err)
			}
			if s, err := c.State(t.Context(), serve(`{"role":"mixed","model":"m","running":1}`)); err != nil || s.Running != 1 {
				t.Errorf("state: %+v, %v", s, err)
			}
		})
	}
}
