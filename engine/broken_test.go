package engine

import (
	"testing"
	"time"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/internal/net/answertest"
)

// Bodies of an engine's answers.
const (
	events    = `data: {"id":"ID","offset":0,"choices":[{"delta":{"content":"x"},"finish_reason":"stop"}]}` + "\n\ndata: [DONE]\n\n"
	prefilled = `{"id":"ID","kv_transfer_params":{"handover":{"address":"a","id":"h","tokens":1}}}`
	running   = `{"role":"mixed","model":"m","running":1}`
)

// theCall is a call that the bodies answer.
var theCall = Call{Attempt: "a1", Request: &Request{Model: "m", MaxTokens: 4}}

// TestBrokenAnswers guards against answers that are broken and count as an engine's answer.
func TestBrokenAnswers(t *testing.T) {
	c := NewClient(time.Second)
	for name, server := range answertest.Broken("", events) {
		if name == answertest.ShorterThanSaid {
			continue // a stream is whole with its end mark
		}
		t.Run("stream, "+name, func(t *testing.T) {
			var a Answer
			if err := c.Stream(t.Context(), server.Start(t), theCall, &a, func(string) error { return nil }); !fault.Is(err, fault.TargetFailed) || a.Done() {
				t.Errorf("%v, complete: %v, want a failure of the target", err, a.Done())
			}
		})
	}
	for name, server := range answertest.Broken("", prefilled) {
		t.Run("prompt processed apart, "+name, func(t *testing.T) {
			if h, err := c.Prefill(t.Context(), server.Start(t), theCall); !fault.Is(err, fault.TargetFailed) {
				t.Errorf("%+v, %v, want a failure of the target", h, err)
			}
		})
	}
	for name, server := range answertest.Broken("", running) {
		t.Run("state, "+name, func(t *testing.T) {
			if s, err := c.State(t.Context(), server.Start(t)); !fault.Is(err, fault.TargetFailed) {
				t.Errorf("%+v, %v, want a failure of the target", s, err)
			}
		})
	}
}

// TestSoundAnswers checks answers that are not broken.
func TestSoundAnswers(t *testing.T) {
	for name, head := range map[string]string{
		"no length":     "HTTP/1.1 200 OK\r\n\r\n",
		"after interim": "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c := NewClient(time.Second)
			serve := func(body string) string {
				server := answertest.Server{Answer: head + body}
				return server.Start(t)
			}
			var a Answer
			if err := c.Stream(t.Context(), serve(events), theCall, &a, func(string) error { return nil }); err != nil || a.Text() != "x" {
				t.Errorf("stream: %q, %v", a.Text(), err)
			}
			if h, err := c.Prefill(t.Context(), serve(prefilled), theCall); err != nil || h.ID != "h" {
				t.Errorf("prompt processed apart: %+v, %v", h, err)
			}
			if s, err := c.State(t.Context(), serve(running)); err != nil || s.Running != 1 {
				t.Errorf("state: %+v, %v", s, err)
			}
		})
	}
}
