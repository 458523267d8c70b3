package http1

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// bpfReturn is the instruction that ends a packet filter. It returns how many bytes of a packet to keep.
const bpfReturn = 0x06

// setSilent makes a connection ignore all that its peer sends, as if its machine stood still.
func setSilent(t *testing.T, c *net.TCPConn, silent bool) {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var setErr error
	err = raw.Control(func(fd uintptr) {
		if !silent {
			setErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
			return
		}
		dropAll := []unix.SockFilter{{Code: bpfReturn}}
		setErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(dropAll)), Filter: &dropAll[0]})
	})
	if err != nil || setErr != nil {
		t.Fatal(err, setErr)
	}
}

// TestSilentTarget guards against an answer that is cut because its target was silent for a second or so and went on,
// and against one that hangs for long because its target is silent for good.
func TestSilentTarget(t *testing.T) {
	const pause = 2600 * time.Millisecond // between two pieces of the answer
	for name, test := range map[string]struct {
		silence time.Duration
		whole   bool
	}{
		"silent for 1.3 s": {1300 * time.Millisecond, true},
		"silent for good":  {10 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			served := make(chan struct{})
			go func() {
				defer close(served)
				c, err := l.Accept()
				if err != nil {
					t.Error(err)
					return
				}
				defer func() { _ = c.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					t.Error(err)
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nhalf")
				setSilent(t, c.(*net.TCPConn), true)
				time.Sleep(min(test.silence, pause))
				if !test.whole {
					time.Sleep(pause)
					return
				}
				setSilent(t, c.(*net.TCPConn), false)
				time.Sleep(pause - test.silence)
				_, _ = io.WriteString(c, "half")
			}()
			client := New(Options{})
			defer client.Close()
			began := time.Now()
			resp, err := client.Do(t.Context(), l.Addr().String(), &Request{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}})
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(resp)
			_ = resp.Close() // never fails
			if whole := err == nil && string(body) == "halfhalf"; whole != test.whole {
				t.Errorf("read %q after %v, error %v, want it whole: %v", body, time.Since(began), err, test.whole)
			}
			if took := time.Since(began); took > pause+time.Second {
				t.Errorf("the answer ended after %v", took)
			}
			<-served
		})
	}
}
