package plain

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/internal/net/answertest"
)

// TestBrokenAnswers guards against answers that are broken and reach callers. A request that may be repeated has failed; the
// outcome of one that may run at most once is unknown.
func TestBrokenAnswers(t *testing.T) {
	const resetName = "reset during upload"
	servers := answertest.Broken("", "part")
	servers[resetName] = answertest.ResetDuringUpload("", "part")
	for name, server := range servers {
		t.Run(name, func(t *testing.T) {
			addr := server.Start(t)
			c := NewClient(nil)
			r := Request{Method: http.MethodPost, Path: "/x", Header: http.Header{}, Body: []byte("body")}
			rounds := 1
			if name == resetName {
				r.Body = make([]byte, answertest.UploadBytes)
				rounds = 20 // who is told of a reset is a matter of chance
			}
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
			server := answertest.Server{Answer: answer, Early: true, End: func(c *net.TCPConn) {
				_ = c.CloseWrite()
				time.Sleep(200 * time.Millisecond)
			}}
			addr := server.Start(t)
			c := NewClient(nil)
			r := Request{Method: http.MethodPost, Path: "/x", Header: http.Header{}, Body: make([]byte, answertest.UploadBytes)}
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
