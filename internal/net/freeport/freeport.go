// Package freeport finds loopback addresses for processes that tests start.
//
// A port of the range that the system gives to outgoing connections may be taken by one between
// its choice and its use, so these lie below it.
package freeport

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

const (
	firstPort     = 30_200
	portCount     = 2_500 // ends below the range of outgoing connections
	processStride = 37    // between processes that choose at the same time
)

var next atomic.Int64

func init() { next.Store(int64(os.Getpid()) * processStride % portCount) }

// Address returns a loopback address that nothing listens on.
func Address() (string, error) {
	for range portCount {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+next.Add(1)%portCount)
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue // something listens there
		}
		return addr, l.Close()
	}
	return "", fmt.Errorf("no free port from %d to %d", firstPort, firstPort+portCount)
}
