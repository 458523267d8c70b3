package fenced

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/internal/net/answertest"
)

// TestBrokenAnswers guards against a call that counts as accepted, or refused, though its receiver gave an answer that is none.
func TestBrokenAnswers(t *testing.T) {
	servers := answertest.Broken("", "part")
	servers["many interim ones"] = &answertest.Server{Answer: strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 1000)}
	servers["an endless head"] = &answertest.Server{Answer: "HTTP/1.1 200 OK\r\n" + strings.Repeat("X: y\r\n", 100_000)}
	servers["an endless body"] = &answertest.Server{
		Answer: "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", 4<<20), End: func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) },
	}
	for name, server := range servers {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			answer, err := Send(ctx, server.Start(t), []byte(request), func() bool { return true })
			if err == nil || fault.ResponseOf(err).Ran != fault.RanUnknown || ctx.Err() != nil {
				t.Errorf("%+v, %v, want an unknown outcome at once", answer, err)
			}
		})
	}
}

// TestLongText guards against an answer that does not count because of its long text.
func TestLongText(t *testing.T) {
	server := answertest.Server{Answer: "HTTP/1.1 503 Not Now\r\n\r\n" + strings.Repeat("x", 100<<10)}
	answer, err := Send(t.Context(), server.Start(t), []byte(request), func() bool { return true })
	if err != nil || answer.Status != http.StatusServiceUnavailable || len(answer.Text) != maxText {
		t.Errorf("%+v, %v", answer, err)
	}
}

// TestInterimAnswer guards against an interim answer that is taken for the final one.
func TestInterimAnswer(t *testing.T) {
	server := answertest.Server{Answer: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 503 Not Now\r\nContent-Length: 2\r\n\r\nno"}
	answer, err := Send(t.Context(), server.Start(t), []byte(request), func() bool { return true })
	if err != nil || answer.Status != http.StatusServiceUnavailable || string(answer.Text) != "no" {
		t.Errorf("%+v, %v, want the status 503", answer, err)
	}
}
