package main

import (
	"bytes"
	"net/http"
	"testing"

	"github.com/hickoryridge/hickoryridge/internal/cli"
	"github.com/hickoryridge/hickoryridge/internal/net/answertest"
)

// TestBrokenAnswers guards against an operator who is told that a change was made though the answer to it is none.
func TestBrokenAnswers(t *testing.T) {
	const resetName = "reset during upload"
	servers := answertest.Broken("", "{}")
	servers["not modified"] = &answertest.Server{Answer: "HTTP/1.1 304 Not Modified\r\n\r\n"}
	servers["reset behind the body"] = &answertest.Server{Answer: "HTTP/1.1 200 OK\r\n\r\n{}", End: answertest.Reset}
	servers[resetName] = answertest.ResetDuringUpload("", "{}")
	for name, server := range servers {
		t.Run(name, func(t *testing.T) {
			addr := server.Start(t)
			body, rounds := []byte("body"), 1
			if name == resetName {
				body = make([]byte, answertest.UploadBytes)
				rounds = 20 // who is told of a reset is a matter of chance
			}
			for range rounds {
				var out, errs bytes.Buffer
				c := &client{control: addr, out: &out, errs: &errs}
				var v struct{}
				if status, ok := c.call(http.MethodPut, "/v1/desired", body, &v); ok || errs.Len() == 0 || exitCodeOf(status) != cli.ExitFailed {
					t.Fatalf("status %d, ok: %v, printed %q, want an error", status, ok, errs.String())
				}
			}
		})
	}
}
