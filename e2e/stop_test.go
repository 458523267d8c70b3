package e2e

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/internal/standin"
	"github.com/hickoryridge/hickoryridge/settings"
)

// settleTime is the time in which an instance reads bytes that a test has sent.
const settleTime = 100 * time.Millisecond

// paymentOf returns a payment as it is on the wire.
func paymentOf(key string) string {
	const body = `{"amount":1}`
	return fmt.Sprintf("POST /services/desk/payments HTTP/1.1\r\nHost: h\r\nX-Tenant: tobago\r\nIdempotency-Key: %s\r\nContent-Length: %d\r\n\r\n%s", key, len(body), body)
}

// openConnection is a caller's connection that is kept open for several requests.
type openConnection struct {
	net.Conn
	r *bufio.Reader
}

func (c *cluster) openConnection(i int) *openConnection {
	c.t.Helper()
	nc := dial(c.t, c.nodes[i].settings.Callers, "")
	return &openConnection{nc, bufio.NewReader(nc)}
}

// send sends bytes of a request.
func (c *openConnection) send(t *testing.T, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatalf("sending: %v", err)
	}
}

// answer reads an answer.
func (c *openConnection) answer() (*http.Response, error) {
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp, err
}

// TestRequestBeingReadAtStop guards against a connection that is closed under a request: net/http takes a
// connection for idle until the header has been parsed, and closed those at SIGTERM. Whatever part of a request
// has been read when the signal comes, it is answered, and the answer ends the connection.
func TestRequestBeingReadAtStop(t *testing.T) {
	const linger = 2 * time.Second
	payment := paymentOf("KEY")
	head := strings.Index(payment, "\r\n\r\n")
	for name, sent := range map[string]int{
		"first byte": 1, "part of the header": head / 2, "all but the last byte of the header": head + 3, "header": head + 4, "all but the last byte": len(payment) - 1,
	} {
		t.Run(name, func(t *testing.T) {
			c := newClusterWith(t, 1, 1, false, func(s *settings.Settings) { s.Timing.Linger = desired.Duration(linger) })
			c.addTargets(0, 1, standin.EngineConfig{})
			c.bootstrap()
			conn := c.openConnection(0)
			conn.send(t, paymentOf("one"))
			if resp, err := conn.answer(); err != nil || resp.StatusCode != http.StatusCreated || resp.Close {
				t.Fatalf("first payment: %+v, %v", resp, err)
			}
			time.Sleep(settleTime)
			conn.send(t, payment[:sent])
			time.Sleep(settleTime)
			c.signal(0, syscall.SIGTERM)
			c.awaitLeaving(0)
			conn.send(t, payment[sent:])
			resp, err := conn.answer()
			if err != nil || resp.StatusCode != http.StatusCreated {
				t.Fatalf("payment in the middle of which SIGTERM came: %+v, %v", resp, err)
			}
			if _, err := conn.r.ReadByte(); !resp.Close || err != io.EOF {
				t.Errorf("the answer does not end the connection: Connection: close %v, then %v", resp.Close, err)
			}
			if n := c.runs("KEY"); n != 1 {
				t.Errorf("the payment ran %d times", n)
			}
		})
	}
}

// awaitLeaving waits until an instance is not ready any more.
func (c *cluster) awaitLeaving(i int) {
	c.t.Helper()
	c.await("the readiness check to fail", func() bool {
		return do(http.MethodGet, c.callersURL(i)+"/readyz", nil, nil).status == http.StatusServiceUnavailable
	})
}
