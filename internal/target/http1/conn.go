package http1

import (
	"errors"
	"net"
	"syscall"

	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/internal/host/budget"
	"github.com/hickoryridge/hickoryridge/internal/net/answer"
	"github.com/hickoryridge/hickoryridge/internal/net/tcp"
)

// connID identifies a connection of a client.
type connID uint64

// conn is a connection to a target.
type conn struct {
	id      connID
	addr    string
	net     net.Conn
	answers *answer.Reader
	expires clock.Time // end of the idle timeout, while the connection is idle
	used    bool       // has carried a request before the current one
}

func newConn(id connID, addr string, c net.Conn, heads *budget.Budget) *conn {
	return &conn{id: id, addr: addr, net: c, answers: answer.NewReader(c, heads, addr)}
}

// close closes the connection. The target aborts the request in progress, if any.
func (c *conn) close() { _ = c.net.Close() } // the connection is not used again

// reusable reports whether the connection may carry another request. Only on a TCP connection to the
// target itself can be seen what has arrived in the meantime.
func (c *conn) reusable() bool {
	_, ok := c.net.(*tcp.Conn)
	return ok
}

// stillIdle reports whether nothing has arrived since the last response: no byte, no end of
// the stream and no reset.
func (c *conn) stillIdle() bool {
	direct, ok := c.net.(*tcp.Conn)
	if !ok || c.answers.Buffered() {
		return false
	}
	raw, err := direct.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, err := syscall.Read(int(fd), b[:])
		idle = errors.Is(err, syscall.EAGAIN)
		return true // do not wait for input
	})
	return err == nil && idle
}
