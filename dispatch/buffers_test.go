package dispatch

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/internal/host/budget"
	"github.com/hickoryridge/hickoryridge/router"
)

// endlessBody is a body without an end.
type endlessBody struct {
	fill byte
	read int
}

// Read fills p with the same byte.
func (e *endlessBody) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = e.fill
	}
	e.read += len(p)
	return len(p), nil
}

// Close does nothing.
func (e *endlessBody) Close() error { return nil }

const minBuffer = int(budget.MinBuffer)

// TestBuffersAreBounded checks that bodies within the bounds are read completely, and that neither
// a body without an end nor many bodies together exceed the bounds.
func TestBuffersAreBounded(t *testing.T) {
	b := budget.New(48 << 20)
	read := func(source string, body io.Reader) ([]byte, error) {
		account := b.Account(source, budget.MinBuffer)
		defer account.Release()
		return budget.ReadAll(body, maxAnswerBytes, &account)
	}
	for _, n := range []int{0, 1, minBuffer, minBuffer + 1, 3 << 20} {
		want := bytes.Repeat([]byte("x"), n)
		if got, err := read("a", bytes.NewReader(want)); err != nil || !bytes.Equal(got, want) {
			t.Errorf("body of %d bytes: read %d, error %v", n, len(got), err)
		}
	}
	errTruncated := errors.New("truncated")
	if _, err := read("a", io.MultiReader(bytes.NewReader([]byte("x")), &failingReader{errTruncated})); !errors.Is(err, errTruncated) {
		t.Errorf("truncated body: %v", err)
	}
	body := &endlessBody{fill: 'x'}
	if _, err := read("a", body); !fault.Is(err, fault.TooLarge) || body.read > 2*maxAnswerBytes {
		t.Errorf("endless body: %v after %d bytes", err, body.read)
	}
	others := []budget.Account{b.Account("b", 0), b.Account("c", 0)}
	for i := range others {
		if !others[i].Hold(24<<20 - budget.MinBuffer) {
			t.Fatal("the budget is not free")
		}
	}
	body = &endlessBody{}
	if _, err := read("a", body); !fault.Is(err, fault.TooLarge) || body.read > 4*minBuffer {
		t.Errorf("endless body beside others: %v after %d bytes", err, body.read)
	}
	if got, err := read("a", bytes.NewReader([]byte("short"))); err != nil || string(got) != "short" {
		t.Errorf("short body beside others: %q, %v", got, err)
	}
	for i := range others {
		others[i].Release()
	}
	if n := b.Drawn(); n != 0 {
		t.Errorf("%d bytes are still counted", n)
	}
}

// failingReader is a reader that always fails.
type failingReader struct{ err error }

// Read returns the error.
func (f *failingReader) Read([]byte) (int, error) { return 0, f.err }

// TestEndlessAnswerIsCut checks that an answer without events, or without an end, is abandoned at a
// bound and does not count as complete.
func TestEndlessAnswerIsCut(t *testing.T) {
	for name, test := range map[string]struct {
		rule desired.ForwardRule
		with byte
	}{
		"no events":   {desired.ForwardRule{Retry: desired.RetryNever, Stream: true}, 'x'},
		"empty lines": {desired.ForwardRule{Retry: desired.RetryNever, Stream: true}, '\r'},
		"a body":      {desired.ForwardRule{Retry: desired.RetryNever}, 'x'},
	} {
		t.Run(name, func(t *testing.T) {
			body := &endlessBody{fill: test.with}
			b := &scriptedBackend{outcomes: []Outcome{Answered{Status: 200, Body: body}}}
			d := newForwardDispatcher(t, b, "")
			f := newForwardRequest(test.rule)
			f.Parts = []router.Part(nil)
			var sink recordingSink
			if err := d.Forward(t.Context(), f, &sink); err == nil {
				t.Error("endless answer counts as complete")
			}
			if body.read > 2*maxAnswerBytes || sink.body.Len() > 0 {
				t.Errorf("%d bytes were read, %d relayed", body.read, sink.body.Len())
			}
		})
	}
}
