package answer

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
)

// pieces returns its pieces one read at a time, and then io.EOF.
type pieces []string

// Read returns the next piece, or a part of it.
func (s *pieces) Read(p []byte) (int, error) {
	if len(*s) == 0 {
		return 0, io.EOF
	}
	n := copy(p, (*s)[0])
	if n < len((*s)[0]) {
		(*s)[0] = (*s)[0][n:]
	} else {
		*s = (*s)[1:]
	}
	return n, nil
}

// readAll reads answers to the end of src, and describes them and the error that ended them.
func readAll(src io.Reader) string {
	var got strings.Builder
	for r := NewReader(src, nil, ""); ; {
		resp, err := r.Next(http.MethodGet)
		if err != nil {
			fmt.Fprintf(&got, "%v", err)
			return got.String()
		}
		body, err := io.ReadAll(resp.Body)
		fmt.Fprintf(&got, "%d %s %v; ", resp.StatusCode, body, err)
	}
}

// TestReaderAtEverySplit guards against bytes that are lost, or taken for those of another answer, where a head or a body ends
// within what comes in one piece.
func TestReaderAtEverySplit(t *testing.T) {
	const (
		wire = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst" +
			"HTTP/1.1 103 Early Hints\r\nLink: l\r\n\r\n" +
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nsecond\r\n0\r\n\r\n" +
			"HTTP/1.1 204 No Content\r\n\r\n" +
			"HTTP/1.0 404 Not Here\r\nX-Transfer-Encoding: chunked\r\nTransfer-Encodings: c\r\nContent-Length: 5\r\n\r\nsmall" +
			"HTTP/1.1 500 Oops\nContent-Length: 0\n\n" +
			"HTTP/1.1 200 OK\r\nX-Last: 1\r\n\r\nthe rest"
		want = "200 first <nil>; 103  <nil>; 200 second <nil>; 204  <nil>; 404 small <nil>; 500  <nil>; 200 the rest <nil>; unexpected EOF"
	)
	if got := readAll(iotest.OneByteReader(strings.NewReader(wire))); got != want {
		t.Errorf("byte by byte: %s, want %s", got, want)
	}
	for n := range len(wire) {
		for m := n; m < len(wire); m += 7 {
			if got := readAll(&pieces{wire[:n], wire[n:m], wire[m:]}); got != want {
				t.Fatalf("split at %d and %d: %s, want %s", n, m, got, want)
			}
		}
	}
}

// TestBrokenAtEverySplit guards against a head that is checked only in part, because an answer before it came in the same piece.
func TestBrokenAtEverySplit(t *testing.T) {
	const before = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst"
	for name, broken := range map[string]string{
		"status 000":          "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n",
		"coding before 1.1":   "HTTP/1.0 200 OK\r\nTRANSFER-ENCODING: chunked\r\nContent-Length: 0\r\n\r\n",
		"blank in a name":     "HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 0\r\n\r\n",
		"blank behind a name": "HTTP/1.1 200 OK\r\nContent-Length : 0\r\n\r\n",
		"blank before a name": "HTTP/1.1 200 OK\r\nX-Odd: 1\r\n Content-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			wire := before + broken
			for n := range len(wire) {
				got := readAll(&pieces{wire[:n], wire[n:]})
				if !strings.HasPrefix(got, "200 first <nil>; ") || strings.Count(got, ";") != 1 {
					t.Errorf("split at %d: %s, want one answer and an error", n, got)
				}
			}
		})
	}
}
