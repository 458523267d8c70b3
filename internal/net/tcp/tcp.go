// Package tcp opens TCP connections that detect an unreachable peer within a bounded time.
//
// A machine that has lost power, or is behind a network partition, sends nothing, not even
// a reset. A connection to it hangs until the kernel gives up, which takes minutes by
// default. This package limits the time for which data may stay unacknowledged and the
// number of keep-alive probes without a reply.
package tcp

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Options are the timeouts of a connection.
type Options struct {
	DialTimeout   time.Duration // limit for opening the connection
	UserTimeout   time.Duration // limit for unacknowledged data (TCP_USER_TIMEOUT)
	ProbeInterval time.Duration // interval of keep-alive probes on an idle connection
}

// maxProbes is the number of unacknowledged probes after which a connection is closed.
const maxProbes = 3

// Dial opens a connection to addr.
func Dial(ctx context.Context, addr string, o Options) (net.Conn, error) {
	d := net.Dialer{
		Timeout: o.DialTimeout, KeepAliveConfig: o.keepAlive(),
		Control: func(_, _ string, c syscall.RawConn) error { return o.setUserTimeout(c) },
	}
	return d.DialContext(ctx, "tcp", addr)
}

// Listen opens a listener whose connections have the same timeouts.
func Listen(addr string, o Options) (net.Listener, error) {
	lc := net.ListenConfig{
		KeepAliveConfig: o.keepAlive(),
		Control:         func(_, _ string, c syscall.RawConn) error { return o.setUserTimeout(c) },
	}
	return lc.Listen(context.Background(), "tcp", addr)
}

func (o Options) keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: o.ProbeInterval, Interval: o.ProbeInterval, Count: maxProbes}
}

// setUserTimeout sets TCP_USER_TIMEOUT. Accepted connections inherit it from their listener.
func (o Options) setUserTimeout(c syscall.RawConn) error { return setUserTimeout(c, o.UserTimeout) }

// SetUserTimeout changes the limit for unacknowledged data of an open connection.
func SetUserTimeout(c *net.TCPConn, d time.Duration) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	return setUserTimeout(raw, d)
}

func setUserTimeout(c syscall.RawConn, d time.Duration) error {
	var optErr error
	err := c.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}
