package http1

import (
	"bufio"
	"errors"
	"io"
	"net"
	"syscall"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
	"github.com/hickoryridge/hickoryridge/internal/host/budget"
	"github.com/hickoryridge/hickoryridge/internal/net/tcp"
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

func newConn(id connID, addr string, c net.Conn, heads *budget.Budget) *conn {
	head := &headReader{r: c, account: heads.Account(addr, freeHeadBytes)}
	return &conn{id: id, addr: addr, net: c, head: head, r: bufio.NewReaderSize(head, readBufferBytes)}
}

const (
	// maxHeadBytes limits the memory for the heads before a response body, because a faulty target may send
	// headers without end.
	maxHeadBytes = 256 << 10
	// freeHeadBytes is the memory for a head that draws on no budget.
	freeHeadBytes = 8 << 10
)

var (
	// errHeadTooLarge reports a response head of more than maxHeadBytes.
	errHeadTooLarge = errors.New("response head exceeds 256 KiB of memory")
	// errHeads reports that all response heads together exceed the budget.
	errHeads = errors.New("response heads exceed their budget")
)

// headReader limits the memory for the response heads that are read from it.
type headReader struct {
	r       io.Reader
	account budget.Account
	limited bool        // a head is expected, rather than a body
	kept    ident.Bytes // memory for the heads of the current exchange
	line    int         // length of the current line
}

// Read reads from the connection. It returns errHeadTooLarge or errHeads beyond the limits.
func (h *headReader) Read(p []byte) (int, error) {
	n, err := h.r.Read(p)
	if !h.limited || n == 0 {
		return n, err
	}
	h.count(p[:n])
	switch {
	case h.kept > maxHeadBytes:
		return 0, errHeadTooLarge
	case !h.account.Hold(h.kept):
		return 0, errHeads
	default:
		return n, err
	}
}

// count counts bytes up to the end of a head. What follows is a body, or a head that is counted from the next
// read on.
func (h *headReader) count(p []byte) {
	for _, b := range p {
		h.kept++
		switch b {
		case '\r':
		case '\n':
			if h.line == 0 {
				return
			}
			h.line = 0
			h.kept += budget.HeaderLine
		default:
			h.line++
		}
	}
}

// expect starts to limit heads.
func (h *headReader) expect() { h.limited, h.line = true, 0 }

// release forgets the heads of an exchange.
func (h *headReader) release() {
	h.kept = 0
	h.account.Release()
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
