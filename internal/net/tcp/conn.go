package tcp

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Conn is a connection that was opened by Dial. Its Read returns io.EOF only if the peer has ended its direction.
//
// The kernel reports the loss of a connection, such as a reset, to one call. If that is a write, the next read
// finds the end of the stream, as it does after the peer has ended it. So where something is read and written at the
// same time, an end counts only if no write has got the report.
//
// After Read has returned io.EOF, writes fail.
type Conn struct {
	net.Conn // not *net.TCPConn, whose ReadFrom and WriteTo pass by the methods below

	writing sync.Mutex // held during a write
	lost    error      // what a write was told about the loss of the connection
}

// Write writes to the connection.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.lost == nil && reportsLoss(err) {
		c.lost = err
	}
	return n, err
}

// reportsLoss reports whether a write has failed because the connection was lost while the peer could still send. The kernel
// returns EPIPE instead if the peer had ended its direction before, or if the loss has been reported already.
func reportsLoss(err error) bool {
	switch {
	case err == nil, errors.Is(err, syscall.EPIPE):
		return false
	case errors.Is(err, net.ErrClosed), errors.Is(err, os.ErrDeadlineExceeded):
		return false // this process closed the connection, or its deadline has passed
	default:
		return true
	}
}

// Read reads from the connection.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		err = c.end()
	}
	return n, err
}

// end returns io.EOF, or the loss of the connection that a write was told. It ends a write that waits for the peer, which may
// be told just then.
func (c *Conn) end() error {
	if err := c.Conn.SetWriteDeadline(time.Unix(1, 0)); err != nil {
		return err // closed
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.lost != nil {
		return c.lost
	}
	return io.EOF
}

// SyscallConn returns the connection for calls of the kernel.
func (c *Conn) SyscallConn() (syscall.RawConn, error) { return c.Conn.(syscall.Conn).SyscallConn() }
