// Package freeport finds free loopback addresses for processes that tests start.
//
// The ports lie below the system's range for outgoing connections. A port of that range may
// be taken by an outgoing connection between its choice and its use.
package freeport

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

const (
	firstPort     = 30_200
	portCount     = 2_500 // ends below the range for outgoing connections
	processStride = 37    // offset between concurrent processes with consecutive IDs
)

var next atomic.Int64

func init() { next.Store(int64(os.Getpid()) * processStride % portCount) }

// Address returns a loopback address with a port on which nothing listens. It is safe for
// concurrent use.
func Address() (string, error) {
	for range portCount {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+next.Add(1)%portCount)
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue // the port is in use
		}
		return addr, l.Close()
	}
	return "", fmt.Errorf("no free port from %d to %d", firstPort, firstPort+portCount)
}
