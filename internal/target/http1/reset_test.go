package http1

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/internal/net/answertest"
)

// upload sends a long request and returns what arrived of the answer's body, and the error that ended it.
func upload(t *testing.T, c *Client, addr string) (string, error) {
	t.Helper()
	resp, err := c.Do(t.Context(), addr, &Request{Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{}, Body: make([]byte, answertest.UploadBytes)})
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Close() }() // never fails
	body, err := io.ReadAll(resp)
	return string(body), err
}

// TestResetDuringUpload guards against an answer without a length that is taken for whole though its target has reset the
// connection: the kernel reports a reset once, and the request that is still being written may take that report, so that the
// body seems to end properly. An answer whose target has ended it stays whole, whether it reads the rest of the request or not.
func TestResetDuringUpload(t *testing.T) {
	const rounds = 40 // which side takes the report is a matter of chance
	for name, test := range map[string]struct {
		end   func(*net.TCPConn)
		whole bool
	}{
		"reset":                    {answertest.Reset, false},
		"closed with bytes unread": {func(*net.TCPConn) { time.Sleep(5 * time.Millisecond) }, false},
		"ended, then reset": {func(c *net.TCPConn) {
			_ = c.CloseWrite()
			_ = c.SetLinger(0)
		}, true},
		"ended, request not read": {func(c *net.TCPConn) {
			_ = c.CloseWrite()
			time.Sleep(50 * time.Millisecond)
		}, true},
		"ended, request read on": {func(c *net.TCPConn) {
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, c)
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			server := answertest.Server{Answer: "HTTP/1.1 200 OK\r\n\r\npart", Early: true, End: test.end}
			addr := server.Start(t)
			c := New(Options{})
			defer c.Close()
			for n := range rounds {
				body, err := upload(t, c, addr)
				if whole := err == nil && body == "part"; whole != test.whole {
					t.Fatalf("round %d: read %q, error %v, want it whole: %v", n, body, err, test.whole)
				}
			}
		})
	}
}
