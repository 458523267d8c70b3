package dispatch

import (
	"io"
	"sync/atomic"

	"github.com/hickoryridge/hickoryridge/fault"
)

// answerBuffers bounds the memory of answers that are read to their end before they are sent. It is
// safe for concurrent use.
type answerBuffers struct{ bytes atomic.Int64 }

// minBufferBytes is the initial size of an answer's buffer, which doubles as it fills.
const minBufferBytes = 32 << 10

// readAll returns a body of up to maxAnswerBytes, as long as the buffers of all bodies stay within
// maxBufferedBytes. It returns fault.TooLarge beyond these bounds; other errors come from the body.
func (b *answerBuffers) readAll(body io.Reader) ([]byte, error) {
	var buf []byte
	defer func() { b.bytes.Add(-int64(cap(buf))) }()
	for {
		if len(buf) == cap(buf) {
			grown := make([]byte, len(buf), max(minBufferBytes, 2*cap(buf)))
			if b.bytes.Add(int64(cap(grown)-cap(buf))) > maxBufferedBytes {
				b.bytes.Add(int64(cap(buf) - cap(grown)))
				return buf, fault.New(fault.TooLarge, "answers being buffered exceed %d bytes in total", maxBufferedBytes)
			}
			copy(grown, buf)
			buf = grown
		}
		n, err := body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case err == io.EOF:
			return buf, nil
		case err != nil:
			return buf, err
		case len(buf) > maxAnswerBytes:
			return buf, fault.New(fault.TooLarge, "answer exceeds %d bytes", maxAnswerBytes)
		}
	}
}
