package http1

import (
	"bufio"
	"errors"
	"io"
	"net"
	"syscall"

	"github.com/hickoryridge/hickoryridge/internal/clock"
)

const readBufferBytes = 4 << 10

// connID identifies a connection of a client.
type connID uint64

// conn is a connection to a target.
type conn struct {
	id      connID
	addr    string
	net     net.Conn
	head    *headReader
	r       *bufio.Reader // reads from head
	expires clock.Time    // end of the idle timeout, while the connection is idle
	used    bool          // has carried a request before the current one
}

func newConn(id connID, addr string, c net.Conn) *conn {
	head := &headReader{r: c, remaining: unbounded}
	return &conn{id: id, addr: addr, net: c, head: head, r: bufio.NewReaderSize(head, readBufferBytes)}
}

// maxHeadBytes limits the bytes before a response body, because a faulty target may send
// headers without end.
const maxHeadBytes = 256 << 10

// unbounded is the limit of a headReader while a body is read.
const unbounded = -1

// errHeadTooLarge reports a response head of more than maxHeadBytes.
var errHeadTooLarge = errors.New("response head exceeds 256 KiB")

// headReader limits the number of bytes read while a response head is expected.
type headReader struct {
	r         io.Reader
	remaining int // bytes, or unbounded
}

// Read reads from the connection. It returns errHeadTooLarge beyond the limit.
func (h *headReader) Read(p []byte) (int, error) {
	if h.remaining == unbounded {
		return h.r.Read(p)
	}
	if h.remaining == 0 {
		return 0, errHeadTooLarge
	}
	n, err := h.r.Read(p[:min(len(p), h.remaining)])
	h.remaining -= n
	return n, err
}

// close closes the connection. The target aborts the request in progress, if any.
func (c *conn) close() { _ = c.net.Close() } // the connection is not used again

// reusable reports whether the connection may carry another request. Only on a TCP connection to the
// target itself can be seen what has arrived in the meantime.
func (c *conn) reusable() bool {
	_, ok := c.net.(*net.TCPConn)
	return ok
}

// stillIdle reports whether nothing has arrived since the last response: no byte, no end of
// the stream and no reset.
func (c *conn) stillIdle() bool {
	direct, ok := c.net.(*net.TCPConn)
	if !ok || c.r.Buffered() > 0 {
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
