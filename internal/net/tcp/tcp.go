// Package tcp opens TCP connections that notice a peer that has gone silent.
//
// A machine without power and a machine behind a partition answer nothing, not even
// with a reset. A connection to one hangs until the kernel gives up, which takes
// minutes by default. Here unacknowledged data and unanswered probes end it after a
// bound.
package tcp

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Options bounds the silence of a connection.
type Options struct {
	DialTimeout   time.Duration // longest time to open it
	UserTimeout   time.Duration // longest time for which sent data may stay unacknowledged
	ProbeInterval time.Duration // interval of probes while nothing is sent
}

// maxProbes is the number of unanswered probes that end a connection.
const maxProbes = 3

// Dial opens a connection.
func Dial(ctx context.Context, addr string, o Options) (net.Conn, error) {
	d := net.Dialer{
		Timeout: o.DialTimeout, KeepAliveConfig: o.keepAlive(),
		Control: func(_, _ string, c syscall.RawConn) error { return o.setUserTimeout(c) },
	}
	return d.DialContext(ctx, "tcp", addr)
}

// Listen opens a listener whose connections are bounded in the same way.
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

// setUserTimeout sets the bound on unacknowledged data; accepted connections inherit it
// from their listener.
func (o Options) setUserTimeout(c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(o.UserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
