// Package sse splits a stream of server-sent events into complete events.
//
// A target may fail in the middle of an event. Only complete events are forwarded, so that
// another target can resume the stream after the last one.
package sse

import "bytes"

// Splitter buffers the bytes of a stream and returns its complete events. The zero value is
// ready to use. It is not safe for concurrent use.
type Splitter struct {
	buf     []byte
	taken   int // bytes at the start of buf that Take has returned
	scanned int // bytes after them that hold no end of an event
}

// Add appends bytes of the stream. It overwrites what Take has returned, so that a stream needs one buffer however
// long it is.
func (c *Splitter) Add(p []byte) {
	switch {
	case c.Buffered() == 0 && cap(c.buf) > maxIdleBuffer:
		c.buf = nil
	case c.taken > 0:
		c.buf = c.buf[:copy(c.buf, c.buf[c.taken:])]
	}
	c.taken = 0
	c.buf = append(c.buf, p...)
}

// maxIdleBuffer is the size in bytes up to which a buffer is used again. A stream keeps no more after a long event.
const maxIdleBuffer = 64 << 10

// Buffered returns the number of bytes that Take has not returned. After Take, these are
// the bytes of an incomplete event.
func (c *Splitter) Buffered() int { return len(c.buf) - c.taken }

// Size returns the memory that the splitter uses, in bytes.
func (c *Splitter) Size() int { return cap(c.buf) }

// Take removes and returns the complete events with their separators, and the ID of the
// last one that has an ID. It returns nil if no event is complete. The bytes are valid until
// the next Add.
func (c *Splitter) Take() (events []byte, id string) {
	first := c.taken
	for {
		n := eventLength(c.buf[c.taken:], c.scanned)
		c.scanned = 0
		if n == 0 {
			break
		}
		if found, ok := eventID(c.buf[c.taken : c.taken+n]); ok {
			id = found
		}
		c.taken += n
	}
	c.scanned = max(0, c.Buffered()-maxSeparator)
	if c.taken == first {
		return nil, ""
	}
	return c.buf[first:c.taken:c.taken], id
}

// maxSeparator is the length of the longest separator of events.
const maxSeparator = len("\r\n\r\n")

// eventLength returns the length of the event at the start of p, with its separator, or 0
// if it is incomplete. No separator ends in the first scanned bytes.
func eventLength(p []byte, scanned int) int {
	for _, separator := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		if i := bytes.Index(p[scanned:], separator); i >= 0 {
			return scanned + i + len(separator)
		}
	}
	return 0
}

// eventID returns the ID of an event, if it has one.
func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		value, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), []byte("id:"))
		if ok {
			return string(bytes.TrimPrefix(value, []byte(" "))), true
		}
	}
	return "", false
}
