package seed

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/hickoryridge/hickoryridge/fault"
)

// startSeed starts a seed that gives the same answer to each request and then ends the connection.
func startSeed(t *testing.T, answer string) (addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, answer)
			}
			_ = c.Close()
		}
	}()
	return l.Addr().String()
}

// TestBrokenAnswers guards against an instance that is taken for a voter by an answer that is none.
func TestBrokenAnswers(t *testing.T) {
	const info = `{"instance":"v1","address":"a:1","voter":true}`
	for name, test := range map[string]struct {
		answer string
		sound  bool
	}{
		"sound":                  {"HTTP/1.1 200 OK\r\nContent-Length: 46\r\n\r\n" + info, true},
		"no length":              {"HTTP/1.1 200 OK\r\n\r\n" + info, true},
		"not HTTP":               {"\x00\x01 no answer\r\n\r\n", false},
		"status 000":             {"HTTP/1.1 000 OK\r\n\r\n" + info, false},
		"blank in a name":        {"HTTP/1.1 200 OK\r\nX Odd: 1\r\n\r\n" + info, false},
		"blank behind a name":    {"HTTP/1.1 200 OK\r\nContent-Length : 1\r\n\r\n" + info, false},
		"blank before a name":    {"HTTP/1.1 200 OK\r\nX-Odd: 1\r\n X-Odder: 2\r\n\r\n" + info, false},
		"control byte in a name": {"HTTP/1.1 200 OK\r\nX-\x01Odd: 1\r\n\r\n" + info, false},
		"head cut short":         {"HTTP/1.1 200 OK\r\nContent-Length: 46\r\n", false},
		"body cut short":         {"HTTP/1.1 200 OK\r\nContent-Length: 46\r\n\r\n" + info[:40], false},
		"body shorter than said": {"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n" + info, false},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := NewClient().Query(t.Context(), startSeed(t, test.answer))
			if test.sound != (err == nil) || test.sound != (got.ID == "v1") {
				t.Errorf("%+v, %v, want it sound: %v", got, err, test.sound)
			}
			if err != nil && !fault.Is(err, fault.NotFound) && !fault.Is(err, fault.FrameInvalid) {
				t.Errorf("error of kind %v", fault.KindOf(err))
			}
		})
	}
}
