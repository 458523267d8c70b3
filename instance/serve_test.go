package instance

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestUnusedConnection checks that a connection on which no request has come does not make a
// stop fail.
func TestUnusedConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	in := &Instance{lingers: make(chan struct{})}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- in.serve(ctx, l, newServer(http.NotFoundHandler())) }()
	time.Sleep(100 * time.Millisecond) // the connection is accepted
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
