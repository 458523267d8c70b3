// Package freeport chooses loopback addresses for processes that tests start.
//
// The ports lie below the system's range for outgoing connections. A port of that range may
// be taken by an outgoing connection between its choice and its use. A chosen port stays held by
// a file lock until its test ends, so that no other test process chooses it before its user
// listens, or between two runs of its user.
package freeport

import (
	"encoding/binary"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

const (
	firstPort = 12_000
	portCount = 20_700 // ends below the range for outgoing connections
	// processStride is the offset between the first choices of processes with consecutive ids. It saves
	// them from trying each other's ports.
	processStride = 37
)

var next atomic.Int64

func init() { next.Store(int64(os.Getpid()) * processStride % portCount) }

// Address returns a loopback address on which nothing listens, and which no other test is given
// until t ends. It is safe for concurrent use.
func Address(t testing.TB) string {
	t.Helper()
	folder := filepath.Join(os.TempDir(), fmt.Sprint("hickoryridge-ports-", os.Getuid()))
	if err := os.MkdirAll(folder, 0o700); err != nil {
		t.Fatal(err)
	}
	for range portCount {
		port := int(firstPort + next.Add(1)%portCount)
		lock, err := hold(folder, port)
		if err != nil {
			t.Fatal(err)
		}
		if lock == nil {
			continue
		}
		addr := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		if !free(addr) {
			_ = lock.Close() // releases it
			continue
		}
		t.Cleanup(func() { _ = lock.Close() }) // as above
		return addr
	}
	t.Fatalf("no free port from %d to %d", firstPort, firstPort+portCount-1)
	return ""
}

// Sockets returns the lines of the kernel's table of TCP sockets that have an address on one of their sides, for a test that finds
// its address taken.
func Sockets(addr string) ([]string, error) {
	a, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	data, err := os.ReadFile("/proc/net/tcp") // IPv4 only
	if err != nil {
		return nil, err
	}
	entry := fmt.Sprintf(" %08X:%04X ", binary.NativeEndian.Uint32(a.Addr().AsSlice()), a.Port())
	var lines []string
	for line := range strings.Lines(string(data)) {
		if strings.Contains(line, entry) {
			lines = append(lines, strings.TrimSpace(line))
		}
	}
	return lines, nil
}

// hold locks the file of a port. It returns nil if another test holds the port.
func hold(folder string, port int) (*os.File, error) {
	f, err := os.OpenFile(filepath.Join(folder, strconv.Itoa(port)), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	err = unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB)
	if err == nil {
		return f, nil
	}
	_ = f.Close() // not locked
	if err == unix.EWOULDBLOCK || err == unix.EINTR {
		return nil, nil
	}
	return nil, fmt.Errorf("locking the file of port %d: %w", port, err)
}

// free reports whether nothing listens on an address. No process is started meanwhile: between fork and
// exec it would have a copy of the socket, and the address would not be free once this one is closed.
func free(addr string) bool {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return false
	}
	return l.Close() == nil
}
