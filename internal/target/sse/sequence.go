package sse

import (
	"bytes"
	"fmt"
	"strconv"
)

// Sequence checks that the events of a stream follow each other: that each has an ID, a number that is larger than
// the one before. Use After to create one.
type Sequence struct {
	last  uint64
	begun bool // last is the ID of an event
	never bool // nothing follows
}

// After returns a sequence that goes on after the event with the given ID. An empty ID means that the stream begins.
// An ID that is no number is followed by no event.
func After(id string) Sequence {
	if id == "" {
		return Sequence{}
	}
	n, err := strconv.ParseUint(id, 10, 64)
	return Sequence{last: n, begun: true, never: err != nil}
}

// Continues reports whether events follow one that has an ID.
func (s Sequence) Continues() bool { return s.begun && !s.never }

// Last returns the ID of the last event, or "" if there was none.
func (s Sequence) Last() string {
	if !s.begun {
		return ""
	}
	return strconv.FormatUint(s.last, 10)
}

// Follow returns the length of the events at the start of p that follow, and an error if there is one after them
// that does not. Comments belong to no sequence.
func (s *Sequence) Follow(p []byte) (n int, err error) {
	for n < len(p) {
		length := eventLength(p[n:], 0)
		if length == 0 {
			return n, fmt.Errorf("%d bytes are no event", len(p)-n)
		}
		event := p[n : n+length]
		if !isComment(event) {
			if err := s.add(event); err != nil {
				return n, err
			}
		}
		n += length
	}
	return n, nil
}

// add adds an event.
func (s *Sequence) add(event []byte) error {
	text, ok := eventID(event)
	id, err := strconv.ParseUint(text, 10, 64)
	switch {
	case !ok || err != nil:
		return fmt.Errorf("event with id %q, want a number", text)
	case s.never || s.begun && id <= s.last:
		return fmt.Errorf("event with id %d does not follow %d", id, s.last)
	}
	s.last, s.begun = id, true
	return nil
}

// isComment reports whether an event has comments only.
func isComment(event []byte) bool {
	for line := range bytes.Lines(event) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}
