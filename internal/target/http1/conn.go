package http1

import (
	"bufio"
	"errors"
	"io"
	"net"
	"syscall"

	"github.com/hickoryridge/hickoryridge/internal/clock"
)

const readBufferBytes = 4 << 10 // bytes

// conn is one connection to a target.
type conn struct {
	addr    string
	tcp     *net.TCPConn
	head    *headReader
	r       *bufio.Reader // of head
	expires clock.Time    // while it is kept
}

func newConn(addr string, c *net.TCPConn) *conn {
	head := &headReader{r: c, remaining: unbounded}
	return &conn{addr: addr, tcp: c, head: head, r: bufio.NewReaderSize(head, readBufferBytes)}
}

// maxHeadBytes bounds the bytes before an answer's body, in which a faulty target may go on without end.
const maxHeadBytes = 256 << 10

// unbounded is the bound of a headReader while a body is read.
const unbounded = -1

// errHeadTooLarge tells that a head goes on beyond maxHead.
var errHeadTooLarge = errors.New("the head of the answer does not end")

// headReader bounds what is read while a head is awaited.
type headReader struct {
	r         io.Reader
	remaining int // bytes; unbounded if there is no bound
}

// Read reads from the connection. It returns errHead beyond the bound.
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

// close ends the connection. A target drops the request that it carries.
func (c *conn) close() { _ = c.tcp.Close() } // nothing is left to be written

// stillIdle reports whether nothing has arrived since the last answer: no byte, no end and
// no reset.
func (c *conn) stillIdle() bool {
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
