package instance

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestUnusedConnection checks that an open connection without a request does not make the shutdown
// fail: net/http treats such a connection as active for some seconds.
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
	in := &Instance{stages: newStages(), requests: t.Context()}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- in.serveInternal(ctx, l, http.NotFoundHandler()) }()
	time.Sleep(100 * time.Millisecond) // lets the server accept the connection
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
