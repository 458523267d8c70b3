// Package sse cuts a stream of server-sent events into whole events.
//
// A target may stop in the middle of an event. Only whole events are passed on, so that an
// answer can go on elsewhere after the last one.
package sse

import "bytes"

// Cutter collects the bytes of a stream and returns its whole events.
type Cutter struct {
	buf []byte
}

// Add takes bytes of the stream.
func (c *Cutter) Add(p []byte) { c.buf = append(c.buf, p...) }

// Buffered returns the number of bytes that belong to no whole event yet.
func (c *Cutter) Buffered() int { return len(c.buf) }

// Take returns the whole events so far with their separators, and the id of the
// last one that has an id. It returns nil if there is none. The bytes are valid until the next Add.
func (c *Cutter) Take() (events []byte, id string) {
	end := 0
	for {
		n := eventLength(c.buf[end:])
		if n == 0 {
			break
		}
		if found, ok := eventID(c.buf[end : end+n]); ok {
			id = found
		}
		end += n
	}
	events = c.buf[:end:end]
	c.buf = c.buf[end:]
	if end == 0 {
		return nil, ""
	}
	return events, id
}

// eventLength returns the length of the event that p begins with, 0 if it is not whole.
func eventLength(p []byte) int {
	for _, separator := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		if i := bytes.Index(p, separator); i >= 0 {
			return i + len(separator)
		}
	}
	return 0
}

// eventID returns the id of an event.
func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		value, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), []byte("id:"))
		if ok {
			return string(bytes.TrimPrefix(value, []byte(" "))), true
		}
	}
	return "", false
}
