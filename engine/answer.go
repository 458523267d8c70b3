package engine

import (
	"strings"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
)

// Answer assembles the answer to one request from the chunks of its attempts. It
// admits a chunk only if it belongs to the present attempt and continues the
// answer without a gap.
type Answer struct {
	attempt ident.AttemptID
	text    strings.Builder
	next    int
	finish  string
	done    bool
}

// BeginAttempt starts an attempt. Chunks of earlier attempts are refused from now on.
func (a *Answer) BeginAttempt(id ident.AttemptID) { a.attempt = id }

// Text returns the text so far.
func (a *Answer) Text() string { return a.text.String() }

// Tokens returns the number of tokens so far.
func (a *Answer) Tokens() int { return a.next }

// FinishReason returns why the answer ended, or "" while it has not.
func (a *Answer) FinishReason() string { return a.finish }

// Done reports whether the answer arrived with its end mark.
func (a *Answer) Done() bool { return a.done }

// AddChunk admits a chunk. fresh is false for a duplicate, which is dropped. An error
// of kind fault.TargetFailed ends the attempt.
func (a *Answer) AddChunk(c Chunk) (fresh bool, err error) {
	if c.ID != string(a.attempt) {
		return false, fault.New(fault.TargetFailed, "chunk of attempt %q in the answer to %q", c.ID, a.attempt)
	}
	if a.done || a.finish != "" {
		return false, fault.New(fault.TargetFailed, "chunk after the end of attempt %q", a.attempt)
	}
	if len(c.Choices) != 1 {
		return false, fault.New(fault.TargetFailed, "chunk with %d choices, want 1", len(c.Choices))
	}
	choice := c.Choices[0]
	if choice.Delta.Content != "" {
		if fresh, err = a.place(c, choice.Delta.Content); err != nil {
			return false, err
		}
	}
	if choice.Finish != nil {
		a.finish = *choice.Finish
	}
	return fresh, nil
}

func (a *Answer) place(c Chunk, text string) (bool, error) {
	at := a.next
	if c.Offset != nil {
		at = *c.Offset
	}
	switch {
	case at < a.next:
		return false, nil
	case at > a.next:
		return false, fault.New(fault.TargetFailed, "chunk at token %d, want %d", at, a.next)
	}
	a.text.WriteString(text)
	a.next++
	return true, nil
}

// finishLength is the finish of an answer that reached its longest length.
const finishLength = "length"

// FinishAtLimit reports whether the answer has all of max tokens, and then ends it: an
// attempt that broke off after its last token leaves nothing to continue.
func (a *Answer) FinishAtLimit(max ident.Tokens) bool {
	if a.next < int(max) {
		return false
	}
	if a.finish == "" {
		a.finish = finishLength
	}
	a.done = true
	return true
}

// HandleEnd takes the stream's end mark. It returns an error if the answer is cut.
func (a *Answer) HandleEnd() error {
	if a.finish == "" {
		return fault.New(fault.TargetFailed, "attempt %q ended after %d tokens without a finish", a.attempt, a.next)
	}
	a.done = true
	return nil
}
