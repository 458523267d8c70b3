package e2e

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/internal/standin"
)

// TestCallerClosesItsDirection guards against an answer that is made up for a caller of the project's own interface
// that closes its direction of the connection after its request: the answer is whole, an error, breaks off as such, or there is none.
func TestCallerClosesItsDirection(t *testing.T) {
	const requests = 10
	c := newCluster(t, 3, 3, false)
	c.addTargets(1, 1, standin.EngineConfig{Speed: 4})
	c.bootstrap()
	chat := string(chatBody("question", 20))
	for name, request := range map[string]string{
		"idempotent": "GET /services/desk/postage/TT-1 HTTP/1.1\r\nHost: x\r\nX-Tenant: tobago\r\n\r\n",
		"once":       paymentOf("KEY"),
		"chat":       "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Tenant: tobago\r\nContent-Length: " + fmt.Sprint(len(chat)) + "\r\n\r\n" + chat,
	} {
		whole, failed, broken, none := 0, 0, 0, 0
		for n := range requests {
			for _, pause := range []time.Duration{0, 2 * time.Millisecond, 20 * time.Millisecond} {
				text := strings.Replace(request, "KEY", fmt.Sprint("pay-", n, pause), 1)
				data := sendHalfClosed(t, c.nodes[0].settings.Callers, text, pause)
				if len(data) == 0 {
					none++
					continue
				}
				resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(data)), nil)
				if err != nil {
					t.Fatalf("%s: %v in %q", name, err, data)
				}
				body, err := io.ReadAll(resp.Body)
				switch {
				case err != nil && name == "chat":
					broken++ // as a stream breaks off: its end cannot be mistaken for a complete one
				case err != nil, len(body) == 0, name == "chat" && resp.StatusCode == http.StatusOK && !bytes.Contains(body, []byte("[DONE]")):
					t.Fatalf("%s: answered %q, %v", name, data, err)
				case resp.StatusCode < http.StatusMultipleChoices:
					whole++
				default:
					failed++
				}
			}
		}
		t.Logf("%s: %d answered, %d failed, %d broken off, %d without an answer", name, whole, failed, broken, none)
	}
}

// sendHalfClosed sends a request, closes its direction of the connection after a pause, and returns what comes.
func sendHalfClosed(t *testing.T, addr, request string, pause time.Duration) []byte {
	t.Helper()
	c := dial(t, addr, request)
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	time.Sleep(pause)
	if err := c.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	data, err := io.ReadAll(c)
	if err != nil {
		t.Fatal(err)
	}
	return data
}
