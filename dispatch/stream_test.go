package dispatch

import (
	"errors"
	"net/http"
	"testing"

	"github.com/hickoryridge/hickoryridge/desired"
)

// TestBrokenStreamGoesOn guards against bytes that are no part of a stream and are delivered in the middle of it,
// and against an end that looks complete, when a stream broke off and another target answers with something else
// than the events that follow. Such a stream breaks off.
func TestBrokenStreamGoesOn(t *testing.T) {
	const (
		third  = "id: 3\ndata: c\n\n"
		fourth = "id: 4\ndata: d\n\n"
	)
	type rest struct {
		status int
		kind   string // Content-Type
		body   string
		err    error
	}
	const eventStream = "text/event-stream"
	for name, test := range map[string]struct {
		first     string
		rest      rest
		delivered string
		complete  bool
	}{
		"the events that follow":       {events, rest{200, eventStream, third + fourth, nil}, events + third + fourth, true},
		"a type with a parameter":      {events, rest{200, eventStream + "; charset=utf-8", third, nil}, events + third, true},
		"nothing is left":              {events, rest{200, eventStream, "", nil}, events, true},
		"a comment between events":     {events, rest{200, eventStream, ": wait\n\n" + third, nil}, events + ": wait\n\n" + third, true},
		"the rest breaks off too":      {events, rest{200, eventStream, third + "id: 4\nda", errTruncated}, events + third, false},
		"an error":                     {events, rest{500, "text/plain", "sorry\n\n", nil}, events, false},
		"a page with status 200":       {events, rest{200, "text/html", "<html>\n\n</html>\n\n", nil}, events, false},
		"a page as events":             {events, rest{200, eventStream, "<html>\n\n</html>\n\n", nil}, events, false},
		"the head of an answer":        {events, rest{200, eventStream, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 5\r\n\r\nsorry\n\n", nil}, events, false},
		"an error as an event":         {events, rest{200, eventStream, "event: error\ndata: sorry\n\n", nil}, events, false},
		"a whole answer":               {events, rest{200, "application/json", `{"text":"abcd"}`, nil}, events, false},
		"an answer without a body":     {events, rest{204, "", "", nil}, events, false},
		"an empty answer of no stream": {events, rest{200, "application/json", "", nil}, events, false},
		"the events from the start":    {events, rest{200, eventStream, events + third, nil}, events, false},
		"an event twice":               {events, rest{200, eventStream, third + third + fourth, nil}, events + third, false},
		"events out of order":          {events, rest{200, eventStream, fourth + third, nil}, events + fourth, false},
		"an error after events":        {events, rest{200, eventStream, third + "sorry\n\n", nil}, events + third, false},
		"events without ids":           {"data: a\n\n", rest{200, eventStream, "data: a\n\ndata: b\n\n", nil}, "data: a\n\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			b := &scriptedBackend{outcomes: []Outcome{
				answerOf(eventStream, 200, test.first+"id: 9\nda", errTruncated), answerOf(test.rest.kind, test.rest.status, test.rest.body, test.rest.err),
			}}
			d := newForwardDispatcher(t, b, "", "")
			var sink recordingSink
			err := d.Forward(t.Context(), newForwardRequest(desired.ForwardRule{Retry: desired.RetryResume, Stream: true, Attempts: 2}), &sink)
			if got := sink.body.String(); got != test.delivered {
				t.Errorf("delivered %q, want %q", got, test.delivered)
			}
			var truncated *TruncatedAnswerError
			if test.complete && err != nil || !test.complete && !errors.As(err, &truncated) {
				t.Errorf("error %v, complete stream wanted: %v", err, test.complete)
			}
		})
	}
}

// answerOf is like answer with a Content-Type.
func answerOf(kind string, status int, body string, err error) Outcome {
	return Answered{Status: status, Header: http.Header{"Content-Type": {kind}}, Body: answer(status, body, err).(Answered).Body}
}

// TestTakenUpStreamGoesOn guards against the same where a caller takes a stream up: what comes must follow the last event
// that it has. Another target is tried, and the caller gets an error rather than something else.
func TestTakenUpStreamGoesOn(t *testing.T) {
	const third = "id: 3\ndata: c\n\n"
	for name, test := range map[string]struct {
		last     string // that the caller has
		outcomes []Outcome
		want     string
		ok       bool
	}{
		"the rest":                    {"2", []Outcome{answerOf("text/event-stream", 200, third, nil)}, third, true},
		"the rest, no type":           {"2", []Outcome{answer(200, third, nil)}, third, true},
		"an error, then the rest":     {"2", []Outcome{answerOf("text/event-stream", 200, "sorry\n\n", nil), answerOf("text/event-stream", 200, third, nil)}, third, true},
		"a page twice":                {"2", []Outcome{answerOf("text/html", 200, "sorry\n\n", nil), answerOf("text/html", 200, "sorry\n\n", nil)}, "", false},
		"from the start":              {"2", []Outcome{answerOf("text/event-stream", 200, events+third, nil), answerOf("text/event-stream", 200, events+third, nil)}, "", false},
		"ids of another kind":         {"x", []Outcome{answerOf("text/event-stream", 200, "id: y\ndata: c\n\n", nil)}, "id: y\ndata: c\n\n", true},
		"a new stream, of no events":  {"", []Outcome{answerOf("text/plain", 200, "whole\n\n", nil)}, "whole\n\n", true},
		"a new stream, ids of a kind": {"", []Outcome{answerOf("text/event-stream", 200, "id: y\ndata: c\n\n", nil)}, "id: y\ndata: c\n\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			d := newForwardDispatcher(t, &scriptedBackend{outcomes: test.outcomes}, "", "")
			f := newForwardRequest(desired.ForwardRule{Retry: desired.RetryResume, Stream: true, Attempts: 2})
			f.LastEventID = test.last
			var sink recordingSink
			err := d.Forward(t.Context(), f, &sink)
			if sink.body.String() != test.want || (err == nil) != test.ok {
				t.Errorf("delivered %q, error %v, want %q", sink.body.String(), err, test.want)
			}
			if !test.ok && sink.begins > 0 {
				t.Error("the answer has begun, and the caller gets no error")
			}
		})
	}
}
