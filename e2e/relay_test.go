package e2e

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// relay forwards TCP connections to one address. While it is blocked, it accepts connections and
// bytes but forwards nothing, as a network partition that drops packets without resetting
// connections.
type relay struct {
	addr    string
	blocked atomic.Bool
}

// newRelay starts a relay to an address. It stops with the test.
func newRelay(t testing.TB, to string) *relay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	r := &relay{addr: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.serve(c, to)
		}
	}()
	return r
}

// serve forwards one connection until either side ends.
func (r *relay) serve(c net.Conn, to string) {
	defer func() { _ = c.Close() }()
	for r.blocked.Load() {
		time.Sleep(10 * time.Millisecond)
	}
	out, err := net.Dial("tcp", to)
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	done := make(chan struct{}, 2)
	forward := func(dst io.Writer, src io.Reader) {
		defer func() { done <- struct{}{} }()
		buf := make([]byte, 64<<10)
		for {
			n, err := src.Read(buf)
			if err != nil {
				return
			}
			for r.blocked.Load() {
				time.Sleep(10 * time.Millisecond)
			}
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
		}
	}
	go forward(out, c)
	go forward(c, out)
	<-done
}
