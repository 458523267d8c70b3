package dispatch

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/router"
)

// endless is a body without an end.
type endless struct {
	with byte
	read int
}

// Read fills p.
func (e *endless) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = e.with
	}
	e.read += len(p)
	return len(p), nil
}

// Close ends nothing.
func (e *endless) Close() error { return nil }

// TestHeld checks that whole bodies are read whole, and that none without an end, nor many of them, takes more than its part.
func TestHeld(t *testing.T) {
	var h held
	for _, n := range []int{0, 1, heldStep, heldStep + 1, 3 << 20} {
		want := bytes.Repeat([]byte("x"), n)
		if got, err := h.read(bytes.NewReader(want)); err != nil || !bytes.Equal(got, want) {
			t.Errorf("%d bytes: %d, %v", n, len(got), err)
		}
	}
	cut := errors.New("cut")
	if _, err := h.read(io.MultiReader(bytes.NewReader([]byte("x")), &failing{cut})); !errors.Is(err, cut) {
		t.Errorf("a body that broke off: %v", err)
	}
	body := &endless{with: 'x'}
	if _, err := h.read(body); !fault.Is(err, fault.TooLarge) || body.read > 2*maxWhole {
		t.Errorf("a body without an end: %v after %d bytes", err, body.read)
	}
	h.bytes.Add(maxHeld - 2*heldStep)
	if _, err := h.read(&endless{}); !fault.Is(err, fault.TooLarge) {
		t.Errorf("beside others: %v", err)
	}
	if got, err := h.read(bytes.NewReader([]byte("short"))); err != nil || string(got) != "short" {
		t.Errorf("a short one beside others: %q, %v", got, err)
	}
	h.bytes.Add(-(maxHeld - 2*heldStep))
	if n := h.bytes.Load(); n != 0 {
		t.Errorf("%d bytes are still counted", n)
	}
}

// failing is a reader that fails.
type failing struct{ err error }

// Read fails.
func (f *failing) Read([]byte) (int, error) { return 0, f.err }

// TestEndlessAnswers checks that an answer of bytes that are no events, or that never end, is given up at a bound, and does
// not count as whole.
func TestEndlessAnswers(t *testing.T) {
	for name, test := range map[string]struct {
		rule desired.ForwardRule
		with byte
	}{
		"no events":   {desired.ForwardRule{Retry: desired.RetryNever, Stream: true}, 'x'},
		"empty lines": {desired.ForwardRule{Retry: desired.RetryNever, Stream: true}, '\r'},
		"a body":      {desired.ForwardRule{Retry: desired.RetryNever}, 'x'},
	} {
		t.Run(name, func(t *testing.T) {
			body := &endless{with: test.with}
			b := &scripted{outcomes: []Outcome{Answered{Status: 200, Body: body}}}
			d := forwarder(t, b, "")
			f := forward(test.rule)
			f.Parts = []router.Part(nil)
			var sink recorder
			if err := d.Forward(t.Context(), f, &sink); err == nil {
				t.Error("it counts as whole")
			}
			if body.read > 2*maxWhole || sink.body.Len() > 0 {
				t.Errorf("%d bytes were read, %d passed on", body.read, sink.body.Len())
			}
		})
	}
}
