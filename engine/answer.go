package engine

import (
	"strings"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
)

// Answer assembles the answer to one request from the chunks of its attempts. It accepts a chunk
// only if it belongs to the current attempt and continues the answer without a gap. It is not safe
// for concurrent use.
type Answer struct {
	attempt      ident.AttemptID
	text         strings.Builder
	nextOffset   int
	finishReason string
	done         bool
}

// BeginAttempt starts an attempt. From then on, chunks of earlier attempts are rejected.
func (a *Answer) BeginAttempt(id ident.AttemptID) { a.attempt = id }

// Text returns the text received so far.
func (a *Answer) Text() string { return a.text.String() }

// Tokens returns the number of tokens received so far.
func (a *Answer) Tokens() int { return a.nextOffset }

// FinishReason returns the engine's finish reason, or "" if the answer has not finished.
func (a *Answer) FinishReason() string { return a.finishReason }

// Done reports whether the answer is complete, including its end marker.
func (a *Answer) Done() bool { return a.done }

// AddChunk adds a chunk. The result fresh reports whether the chunk added text; it is false for a
// duplicate, which is dropped. An error, of kind fault.TargetFailed, ends the attempt.
func (a *Answer) AddChunk(c Chunk) (fresh bool, err error) {
	if c.ID != string(a.attempt) {
		return false, fault.New(fault.TargetFailed, "chunk of attempt %q received for attempt %q", c.ID, a.attempt)
	}
	if a.done || a.finishReason != "" {
		return false, fault.New(fault.TargetFailed, "chunk received after the end of attempt %q", a.attempt)
	}
	if len(c.Choices) != 1 {
		return false, fault.New(fault.TargetFailed, "chunk with %d choices, want 1", len(c.Choices))
	}
	choice := c.Choices[0]
	if choice.Delta.Content != "" {
		if fresh, err = a.addText(c, choice.Delta.Content); err != nil {
			return false, err
		}
	}
	if choice.Finish != nil {
		a.finishReason = *choice.Finish
	}
	return fresh, nil
}

func (a *Answer) addText(c Chunk, text string) (bool, error) {
	at := a.nextOffset
	if c.Offset != nil {
		at = *c.Offset
	}
	switch {
	case at < a.nextOffset:
		return false, nil
	case at > a.nextOffset:
		return false, fault.New(fault.TargetFailed, "chunk has token offset %d, want %d", at, a.nextOffset)
	}
	a.text.WriteString(text)
	a.nextOffset++
	return true, nil
}

// finishLength is the finish reason of an answer that reached its maximum length.
const finishLength = "length"

// FinishAtLimit reports whether the answer has reached max tokens, and completes it if so. An
// attempt that was truncated after its last token leaves nothing to continue.
func (a *Answer) FinishAtLimit(max ident.Tokens) bool {
	if a.nextOffset < int(max) {
		return false
	}
	if a.finishReason == "" {
		a.finishReason = finishLength
	}
	a.done = true
	return true
}

// HandleEnd processes the stream's end marker. It returns an error of kind fault.TargetFailed if
// the answer is truncated.
func (a *Answer) HandleEnd() error {
	if a.finishReason == "" {
		return fault.New(fault.TargetFailed, "attempt %q ended after %d tokens without a finish reason", a.attempt, a.nextOffset)
	}
	a.done = true
	return nil
}
