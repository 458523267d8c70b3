package http1

import (
	"bufio"
	"errors"
	"net"
	"syscall"

	"github.com/hickoryridge/hickoryridge/internal/clock"
)

const readBuffer = 4 << 10 // bytes

// conn is one connection to a target.
type conn struct {
	addr    string
	tcp     *net.TCPConn
	r       *bufio.Reader
	expires clock.Time // while it is kept
}

func newConn(addr string, c *net.TCPConn) *conn {
	return &conn{addr: addr, tcp: c, r: bufio.NewReaderSize(c, readBuffer)}
}

// close ends the connection. A target drops the request that it carries.
func (c *conn) close() { _ = c.tcp.Close() } // nothing is left to be written

// quiet reports whether nothing has arrived since the last answer: no byte, no end and
// no reset.
func (c *conn) quiet() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, err := syscall.Read(int(fd), b[:])
		quiet = errors.Is(err, syscall.EAGAIN)
		return true // never wait
	})
	return err == nil && quiet
}
