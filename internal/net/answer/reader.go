package answer

import (
	"bufio"
	"errors"
	"io"
	"net/http"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/host/budget"
)

const (
	readBufferBytes = 4 << 10
	// maxInterim limits the interim answers before a final one.
	maxInterim = 4
	// MaxHeadBytes limits the memory for the heads before a body, because a faulty target may send headers without end.
	MaxHeadBytes ident.Bytes = 256 << 10
	// freeHeadBytes is the memory for a head that draws on no budget.
	freeHeadBytes ident.Bytes = 8 << 10
)

var (
	// errHeadTooLarge reports heads of more than MaxHeadBytes.
	errHeadTooLarge = errors.New("response head exceeds 256 KiB of memory")
	// errHeads reports that all response heads together exceed the budget.
	errHeads = errors.New("response heads exceed their budget")
	// errInterim reports more than maxInterim interim answers.
	errInterim = errors.New("received only interim responses")
	// errCodedTooEarly reports a transfer coding, which HTTP/1.0 does not have.
	errCodedTooEarly = errors.New("a response of HTTP/1.0 has a Transfer-Encoding")
	// errFolded reports a line of a head that begins with white space: a name with a blank before it, or the rest of the value
	// before it in an obsolete notation. net/http appends it to that value.
	errFolded = errors.New("a line of the response head begins with white space")
)

// Reader reads the answers on a connection. It is not safe for concurrent use.
type Reader struct {
	head headReader
	buf  *bufio.Reader // reads from head
}

// NewReader returns a reader of the answers that come from src. The memory for heads of one source draws on heads, which
// may be nil.
func NewReader(src io.Reader, heads *budget.Budget, source string) *Reader {
	r := &Reader{head: headReader{src: src, account: heads.Account(source, freeHeadBytes)}}
	r.buf = bufio.NewReaderSize(&r.head, readBufferBytes)
	return r
}

// Next reads the head of the next answer, to a request with the given method, and returns it with its unread body. It may be
// an interim one, with a status below 200. The body of the answer before must have been read to its end.
func (r *Reader) Next(method string) (*http.Response, error) {
	buffered, _ := r.buf.Peek(r.buf.Buffered()) // no more than there is
	r.head.expect(buffered)
	r.buf.Reset(&r.head)
	resp, err := http.ReadResponse(r.buf, &http.Request{Method: method})
	r.head.inHead = false
	if err == nil {
		err = check(resp)
	}
	switch {
	case err != nil:
		return nil, err
	case r.head.coded && !resp.ProtoAtLeast(1, 1):
		return nil, errCodedTooEarly // net/http ignores the coding, so that it would become a part of the body
	default:
		return resp, nil
	}
}

// Final is like Next and skips interim answers, with a status below 200.
func (r *Reader) Final(method string) (*http.Response, error) {
	for range maxInterim + 1 {
		resp, err := r.Next(method)
		if err != nil || resp.StatusCode >= http.StatusOK {
			return resp, err
		}
	}
	return nil, errInterim
}

// Buffered reports whether bytes have been read from the source that belong to no answer yet.
func (r *Reader) Buffered() bool { return r.buf.Buffered() > 0 || r.head.buffered() }

// Release forgets the heads that were read since the last call, whose memory is free now.
func (r *Reader) Release() { r.head.release() }

// headReader checks and limits the heads that are read from it. Of what comes in one piece, it returns a head without what is
// behind it, so that no byte of a later head is taken for one of a body.
type headReader struct {
	src     io.Reader
	account budget.Account
	kept    ident.Bytes // memory for the heads since the last release
	inHead  bool        // a head is expected, rather than a body
	status  bool        // the current line is the first one of its head
	line    int         // length of the current line
	matched int         // bytes at the beginning of the current line that are those of coding
	coded   bool        // a line begins with coding
	ahead   []byte      // read from src
	next    int         // index in ahead of the first byte that has not been returned
}

// expect begins a head, of which some bytes have been returned already.
func (h *headReader) expect(returned []byte) {
	if len(returned) > 0 {
		h.ahead = append(append([]byte{}, returned...), h.ahead[h.next:]...)
		h.next = 0
	}
	h.inHead, h.status, h.coded = true, true, false
	h.beginLine()
}

func (h *headReader) buffered() bool { return h.next < len(h.ahead) }

// Read returns bytes of a head up to its end, or of a body. It returns an error for a head that is broken or too large.
func (h *headReader) Read(p []byte) (int, error) {
	n, err := h.read(p)
	if !h.inHead || n == 0 {
		return n, err
	}
	end, broken := h.scan(p[:n])
	switch {
	case broken != nil:
		return 0, broken
	case h.kept > MaxHeadBytes:
		return 0, errHeadTooLarge
	case !h.account.Hold(h.kept):
		return 0, errHeads
	}
	if end < n {
		h.keep(p[end:n])
		return end, nil // src returns its error again
	}
	return n, err
}

// read returns bytes that were read before, or reads from src.
func (h *headReader) read(p []byte) (int, error) {
	if !h.buffered() {
		return h.src.Read(p)
	}
	n := copy(p, h.ahead[h.next:])
	h.next += n
	return n, nil
}

// keep keeps the last bytes that read has returned, to be returned again.
func (h *headReader) keep(p []byte) {
	if h.buffered() { // they stand before the others
		h.next -= len(p)
		return
	}
	h.ahead = append(h.ahead[:0], p...)
	h.next = 0
}

// scan checks and counts the bytes of a head, and returns the index behind the last one.
func (h *headReader) scan(p []byte) (end int, err error) {
	for i, b := range p {
		h.kept++
		switch {
		case b == '\n' && h.line == 0:
			h.inHead = false
			return i + 1, nil
		case b == '\n':
			h.status = false
			h.beginLine()
			h.kept += budget.HeaderLine
		case b == '\r':
		case h.line == 0 && !h.status && (b == ' ' || b == '\t'):
			return 0, errFolded
		default:
			h.match(b)
			h.line++
		}
	}
	return len(p), nil
}

// coding is how the line with the transfer coding begins, in lower case.
const coding = "transfer-encoding:"

func (h *headReader) beginLine() { h.line, h.matched = 0, 0 }

// match compares the next byte of the current line with coding.
func (h *headReader) match(b byte) {
	if h.coded || h.matched != h.line || lower(b) != coding[h.matched] {
		return
	}
	h.matched++
	h.coded = h.matched == len(coding)
}

func lower(b byte) byte {
	if 'A' <= b && b <= 'Z' {
		b += 'a' - 'A'
	}
	return b
}

// release forgets the heads.
func (h *headReader) release() {
	h.kept = 0
	h.account.Release()
}
