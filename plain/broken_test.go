package plain

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/fault"
)

// uploadBytes is more than the kernel keeps of a request that its service does not read.
const uploadBytes = 8 << 20

// startService starts a service that gives the same answer to each request and then ends the connection.
func startService(t *testing.T, answer string, end func(*net.TCPConn)) (addr string) {
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

// closeReset resets a connection while the request is still being written.
func closeReset(c *net.TCPConn) {
	time.Sleep(5 * time.Millisecond)
	_ = c.SetLinger(0)
}

// TestBrokenAnswers guards against answers that are broken and reach callers. A request that may be repeated has failed; the
// outcome of one that may run at most once is unknown.
func TestBrokenAnswers(t *testing.T) {
	const rounds = 20 // who is told of a reset is a matter of chance
	whole := func(*net.TCPConn) {}
	for name, test := range map[string]struct {
		answer string
		body   int
		end    func(*net.TCPConn)
	}{
		"not HTTP":               {"\x00\x01 no answer\r\n\r\n", 4, whole},
		"status 000":             {"HTTP/1.1 000 OK\r\nContent-Length: 4\r\n\r\npart", 4, whole},
		"blank in a name":        {"HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 4\r\n\r\npart", 4, whole},
		"blank behind a name":    {"HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\npart", 4, whole},
		"blank before a name":    {"HTTP/1.1 200 OK\r\nX-Odd: 1\r\n X-Odder: 2\r\nContent-Length: 4\r\n\r\npart", 4, whole},
		"control byte in a name": {"HTTP/1.1 200 OK\r\nX-\x01Odd: 1\r\nContent-Length: 4\r\n\r\npart", 4, whole},
		"head cut short":         {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n", 4, whole},
		"body cut short":         {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\npart", 4, whole},
		"reset":                  {"HTTP/1.1 200 OK\r\n\r\npart", 4, closeReset},
		"reset during upload":    {"HTTP/1.1 200 OK\r\n\r\npart", uploadBytes, closeReset},
	} {
		t.Run(name, func(t *testing.T) {
			addr := startService(t, test.answer, test.end)
			c := NewClient(nil)
			r := Request{Method: http.MethodPost, Path: "/x", Header: http.Header{}, Body: make([]byte, test.body)}
			for range rounds {
				if answer, err := c.SendIdempotent(t.Context(), addr, r); !fault.Is(err, fault.TargetFailed) {
					t.Fatalf("may be repeated: %+v, %v, want a failure of the target", answer, err)
				}
				answer, err := c.SendOnce(t.Context(), addr, r, func() error { return nil })
				if !fault.Is(err, fault.OutcomeUnknown) || fault.ResponseOf(err).Ran != fault.RanUnknown {
					t.Fatalf("at most once: %+v, %v, want an unknown outcome", answer, err)
				}
			}
		})
	}
}

// TestEarlyAnswer guards against a whole answer that is lost because the service gave it before it had read the request.
func TestEarlyAnswer(t *testing.T) {
	for name, answer := range map[string]string{
		"with a length": "HTTP/1.1 413 Too Large\r\nContent-Length: 4\r\n\r\nfull",
		"no length":     "HTTP/1.1 413 Too Large\r\n\r\nfull",
	} {
		t.Run(name, func(t *testing.T) {
			addr := startService(t, answer, func(c *net.TCPConn) {
				_ = c.CloseWrite()
				time.Sleep(200 * time.Millisecond)
			})
			c := NewClient(nil)
			r := Request{Method: http.MethodPost, Path: "/x", Header: http.Header{}, Body: make([]byte, uploadBytes)}
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			for kind, send := range map[string]func() (*Response, error){
				"may be repeated": func() (*Response, error) { return c.SendIdempotent(ctx, addr, r) },
				"at most once":    func() (*Response, error) { return c.SendOnce(ctx, addr, r, func() error { return nil }) },
			} {
				resp, err := send()
				if err != nil || resp.Status != http.StatusRequestEntityTooLarge || string(resp.Body) != "full" {
					t.Errorf("%s: %+v, %v", kind, resp, err)
				}
			}
		})
	}
}
