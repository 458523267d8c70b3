// Package answertest is a stand-in for servers whose answers are broken, for the tests of all that reads answers.
//
// A Server gives the same answer to each request and then ends the connection. Broken lists what must be taken for an answer
// nowhere, so that each reader is tried with the same.
package answertest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// UploadBytes is the length of a request's body that the kernel does not keep if nobody reads it.
const UploadBytes = 8 << 20

// Server is a server that runs until its test ends.
type Server struct {
	// Answer is sent as it is, but for ID, which stands for the X-Request-Id of the request.
	Answer string
	// Early makes the server answer before it reads the body of the request, which it never does.
	Early bool
	// End is called after the answer, and before the connection is closed. It may be nil.
	End func(*net.TCPConn)

	received atomic.Int64
}

// Start starts the server and returns its address.
func (s *Server) Start(t testing.TB) (addr string) {
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
			go s.serve(c.(*net.TCPConn))
		}
	}()
	return l.Addr().String()
}

// Received returns the number of requests that have come.
func (s *Server) Received() int64 { return s.received.Load() }

func (s *Server) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return // a connection without a request
	}
	s.received.Add(1)
	if !s.Early {
		_, _ = io.Copy(io.Discard, r.Body)
	}
	_, _ = io.WriteString(c, strings.ReplaceAll(s.Answer, "ID", r.Header.Get("X-Request-Id")))
	if s.End != nil {
		s.End(c)
	}
}

// Reset makes the connection end with a reset, which comes a moment after the answer: while a long request is being written, if
// the server is early.
func Reset(c *net.TCPConn) {
	time.Sleep(5 * time.Millisecond)
	_ = c.SetLinger(0)
}

// ShorterThanSaid is the name in Broken of the answer whose whole body comes, but not all of its length.
const ShorterThanSaid = "shorter than its length"

// Broken returns servers whose answers are broken, by what is wrong with these. header holds lines that each answer has besides.
func Broken(header, body string) map[string]*Server {
	head := "HTTP/1.1 200 OK\r\n" + header
	half := body[:len(body)/2]
	length := func(n int) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n", n) }
	servers := map[string]*Server{}
	for name, answer := range map[string]string{
		"not HTTP":                "\x00\x01 no answer\r\n\r\n",
		"status 000":              "HTTP/1.1 000 OK\r\n" + header + length(len(body)) + body,
		"status 600":              "HTTP/1.1 600 OK\r\n" + header + length(len(body)) + body,
		"version 2.0":             "HTTP/2.0 200 OK\r\n" + header + length(len(body)) + body,
		"coding before 1.1":       "HTTP/1.0 200 OK\r\n" + header + "Transfer-Encoding: chunked\r\n\r\n" + body,
		"only an interim one":     "HTTP/1.1 102 Processing\r\n\r\n",
		"blank in a name":         head + "X Odd: 1\r\n" + length(len(body)) + body,
		"blank behind a name":     head + "X-Odd : 1\r\n" + length(len(body)) + body,
		"blank behind the length": head + "Content-Length : 1\r\n\r\n" + body,
		"blank behind the coding": head + "Transfer-Encoding : chunked\r\n\r\n" + body,
		"blank before a name":     head + "X-Odd: 1\r\n X-Odder: 2\r\n" + length(len(body)) + body,
		"control byte in a name":  head + "X-\x01Odd: 1\r\n" + length(len(body)) + body,
		"head cut short":          head + "Content-Length: 0\r\n",
		"body cut short":          head + length(len(body)) + half,
		ShorterThanSaid:           head + length(len(body)+1) + body,
	} {
		servers[name] = &Server{Answer: answer}
	}
	servers["reset in the body"] = &Server{Answer: head + "\r\n" + half, End: Reset}
	return servers
}

// ResetDuringUpload returns a server that answers without a length, and resets the connection while the request is being
// written if that has UploadBytes.
func ResetDuringUpload(header, body string) *Server {
	return &Server{Answer: "HTTP/1.1 200 OK\r\n" + header + "\r\n" + body, Early: true, End: Reset}
}
