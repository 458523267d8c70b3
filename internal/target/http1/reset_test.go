package http1

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// uploadBytes is more than the kernel keeps of a request that its target does not read.
const uploadBytes = 8 << 20

// startEarly starts a target that answers each request before it has read the body, and then ends the connection.
func startEarly(t *testing.T, answer string, end func(*net.TCPConn)) (addr string) {
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
				if _, err := io.ReadAtLeast(c, make([]byte, 1<<10), 100); err != nil {
					return
				}
				_, _ = io.WriteString(c, answer)
				time.Sleep(5 * time.Millisecond) // the client reads the answer while it writes the request
				end(c.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().String()
}

// upload sends a long request and returns what arrived of the answer's body, and the error that ended it.
func upload(t *testing.T, c *Client, addr string) (string, error) {
	t.Helper()
	resp, err := c.Do(t.Context(), addr, &Request{Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{}, Body: make([]byte, uploadBytes)})
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
		"reset":                    {func(c *net.TCPConn) { _ = c.SetLinger(0) }, false},
		"closed with bytes unread": {func(*net.TCPConn) {}, false},
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
			addr := startEarly(t, "HTTP/1.1 200 OK\r\n\r\npart", test.end)
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
