// Package tcp opens TCP connections that detect an unreachable peer within a bounded time, and whose buffers in the
// kernel may be bounded.
//
// A machine that has lost power, or is behind a network partition, sends nothing, not even
// a reset. A connection to it hangs until the kernel gives up, which takes minutes by
// default. This package limits the time for which data may stay unacknowledged and the
// number of keep-alive probes without a reply.
//
// The end of what the peer sends is told from the loss of the connection, also while something is written to it; see Conn.
//
// The kernel buffers megabytes for each connection whose peer reads slowly, or that this process does not read. Where
// there are hundreds of them, Options bounds these buffers.
package tcp

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/hickoryridge/hickoryridge/ident"
)

// Options are the timeouts and the buffers of a connection.
type Options struct {
	DialTimeout   time.Duration // limit for opening the connection
	UserTimeout   time.Duration // limit for unacknowledged data (TCP_USER_TIMEOUT)
	ProbeInterval time.Duration // interval of keep-alive probes on an idle connection
	// SendBuffer and ReceiveBuffer are the bytes that the kernel keeps of what the peer has not read, and of what this
	// process has not (SO_SNDBUF, SO_RCVBUF); 0 leaves them to the kernel. It may keep twice as much.
	SendBuffer, ReceiveBuffer ident.Bytes
}

// maxProbes is the number of unacknowledged probes after which a connection is closed.
const maxProbes = 3

// Dial opens a connection to addr. Without an error, it is a *Conn.
func Dial(ctx context.Context, addr string, o Options) (net.Conn, error) {
	d := net.Dialer{
		Timeout: o.DialTimeout, KeepAliveConfig: o.keepAlive(),
		Control: func(_, _ string, c syscall.RawConn) error { return o.set(c) },
	}
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: c.(*net.TCPConn)}, nil
}

// Listen opens a listener whose connections have the same timeouts and buffers.
func Listen(addr string, o Options) (net.Listener, error) {
	lc := net.ListenConfig{
		KeepAliveConfig: o.keepAlive(),
		Control:         func(_, _ string, c syscall.RawConn) error { return o.set(c) },
	}
	return lc.Listen(context.Background(), "tcp", addr)
}

func (o Options) keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: o.ProbeInterval, Interval: o.ProbeInterval, Count: maxProbes}
}

// set sets the options of a socket. Accepted connections inherit them from their listener. Buffers are bounded before the
// connection opens, as it then agrees on the largest window that it may ever announce.
func (o Options) set(c syscall.RawConn) error {
	err := setUserTimeout(c, o.UserTimeout)
	if o.SendBuffer > 0 {
		err = errors.Join(err, setOption(c, unix.SOL_SOCKET, unix.SO_SNDBUF, int(o.SendBuffer)))
	}
	if o.ReceiveBuffer > 0 {
		err = errors.Join(err, setOption(c, unix.SOL_SOCKET, unix.SO_RCVBUF, int(o.ReceiveBuffer)))
	}
	return err
}

// SetUserTimeout changes the limit for unacknowledged data of an open connection.
func SetUserTimeout(c *net.TCPConn, d time.Duration) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	return setUserTimeout(raw, d)
}

func setUserTimeout(c syscall.RawConn, d time.Duration) error {
	return setOption(c, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
}

// setOption sets one option of a socket.
func setOption(c syscall.RawConn, level, option, value int) error {
	var optErr error
	err := c.Control(func(fd uintptr) { optErr = unix.SetsockoptInt(int(fd), level, option, value) })
	if err != nil {
		return err
	}
	return optErr
}
