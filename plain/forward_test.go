package plain

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
)

// TestRepeatedResponse guards against a response that is delivered to another caller, because a service wrote it
// once more at the point where the next one is expected. Responses of plain services name no request.
func TestRepeatedResponse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go repeatResponses(c)
		}
	}()
	c := NewClient(nil)
	for _, path := range []string{"/first", "/second"} {
		resp, err := c.SendIdempotent(t.Context(), l.Addr().String(), Request{Method: http.MethodGet, Path: path})
		if err != nil {
			t.Fatal(err)
		}
		if string(resp.Body) != path {
			t.Errorf("request %s got the response to %s", path, resp.Body)
		}
	}
}

// repeatResponses answers each request with its path, after the answer to the request before it.
func repeatResponses(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for last := ""; ; {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(req.URL.Path), req.URL.Path)
		if _, err := fmt.Fprint(c, last, answer); err != nil {
			return
		}
		last = answer
	}
}
