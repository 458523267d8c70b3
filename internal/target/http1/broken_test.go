package http1

import (
	"strings"
	"testing"
)

// brokenHeads are responses whose heads are no HTTP/1.1, by what is wrong. The target sends nothing more and closes the connection.
var brokenHeads = map[string]string{
	"status 000":                               "HTTP/1.1 000 OK\r\nId: ID\r\nContent-Length: 2\r\n\r\nok",
	"status 000, chunked":                      "HTTP/1.1 000 OK\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"status 000, no length":                    "HTTP/1.1 000 \r\nId: ID\r\n\r\nok",
	"status 099":                               "HTTP/1.1 099 OK\r\nId: ID\r\nContent-Length: 2\r\n\r\nok",
	"status +20":                               "HTTP/1.1 +20 OK\r\nId: ID\r\nContent-Length: 2\r\n\r\nok",
	"status -00":                               "HTTP/1.1 -00 OK\r\nId: ID\r\nContent-Length: 2\r\n\r\nok",
	"status -01":                               "HTTP/1.1 -01 OK\r\nId: ID\r\nContent-Length: 2\r\n\r\nok",
	"status 600":                               "HTTP/1.1 600 OK\r\nId: ID\r\nContent-Length: 2\r\n\r\nok",
	"status 999":                               "HTTP/1.1 999 OK\r\nId: ID\r\nContent-Length: 2\r\n\r\nok",
	"status of two digits":                     "HTTP/1.1 20 OK\r\nId: ID\r\nContent-Length: 2\r\n\r\nok",
	"status of four digits":                    "HTTP/1.1 2000 OK\r\nId: ID\r\nContent-Length: 2\r\n\r\nok",
	"status 000 after an interim one":          "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 OK\r\nId: ID\r\nContent-Length: 2\r\n\r\nok",
	"version 2.0":                              "HTTP/2.0 200 OK\r\nId: ID\r\nContent-Length: 2\r\n\r\nok",
	"version 0.9":                              "HTTP/0.9 200 OK\r\nId: ID\r\nContent-Length: 2\r\n\r\nok",
	"transfer coding before version 1.1":       "HTTP/1.0 200 OK\r\nId: ID\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"blank in a name":                          "HTTP/1.1 200 OK\r\nId: ID\r\nX Odd: 1\r\nContent-Length: 2\r\n\r\nok",
	"blank behind a name":                      "HTTP/1.1 200 OK\r\nId: ID\r\nX-Odd : 1\r\nContent-Length: 2\r\n\r\nok",
	"blank behind the length":                  "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length : 2\r\n\r\nok, and more",
	"blank behind the transfer coding":         "HTTP/1.1 200 OK\r\nId: ID\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"blank in the length":                      "HTTP/1.1 200 OK\r\nId: ID\r\nContent -Length: 2\r\n\r\nok, and more",
	"blank before a name":                      "HTTP/1.1 200 OK\r\nId: ID\r\nX-Odd: 1\r\n X-Odder: 2\r\nContent-Length: 2\r\n\r\nok",
	"blank before the first name":              "HTTP/1.1 200 OK\r\n X-Odd: 1\r\nId: ID\r\nContent-Length: 2\r\n\r\nok",
	"blank before the length":                  "HTTP/1.1 200 OK\r\nX-Odd: 1\r\nId: ID\r\nX-Odd: 1\r\n Content-Length: 2\r\n\r\nok, and more",
	"tab before a name":                        "HTTP/1.1 200 OK\r\nId: ID\r\nX-Odd: 1\r\n\tX-Odder: 2\r\nContent-Length: 2\r\n\r\nok",
	"blank before a name, interim head":        "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nId: ID\r\nX-Odd: 1\r\n X-Odder: 2\r\nContent-Length: 2\r\n\r\nok",
	"blank before a name, late response first": "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 3\r\n\r\noldHTTP/1.1 200 OK\r\nId: ID\r\nX-Odd: 1\r\n X-Odder: 2\r\nContent-Length: 2\r\n\r\nok",
	"tab behind a name":                        "HTTP/1.1 200 OK\r\nId: ID\r\nX-Odd\t: 1\r\nContent-Length: 2\r\n\r\nok",
	"control byte in a name":                   "HTTP/1.1 200 OK\r\nId: ID\r\nX-\x01Odd: 1\r\nContent-Length: 2\r\n\r\nok",
	"control byte before a name":               "HTTP/1.1 200 OK\r\nId: ID\r\n\x0bX-Odd: 1\r\nContent-Length: 2\r\n\r\nok",
	"control byte in the length":               "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length\x00: 2\r\n\r\nok, and more",
	"delete in a name":                         "HTTP/1.1 200 OK\r\nId: ID\r\nX-\x7fOdd: 1\r\nContent-Length: 2\r\n\r\nok",
	"carriage return in a name":                "HTTP/1.1 200 OK\r\nId: ID\r\nX-\rOdd: 1\r\nContent-Length: 2\r\n\r\nok",
	"carriage return before a name":            "HTTP/1.1 200 OK\r\nId: ID\r\n\rX-Odd: 1\r\nContent-Length: 2\r\n\r\nok",
	"no name":                                  "HTTP/1.1 200 OK\r\nId: ID\r\n: 1\r\nContent-Length: 2\r\n\r\nok",
	"no colon":                                 "HTTP/1.1 200 OK\r\nId: ID\r\nX-Odd\r\nContent-Length: 2\r\n\r\nok",
	"control byte in a value":                  "HTTP/1.1 200 OK\r\nId: ID\r\nX-Odd: a\x00b\r\nContent-Length: 2\r\n\r\nok",
	"carriage return in a value":               "HTTP/1.1 200 OK\r\nId: ID\r\nX-Odd: a\rContent-Length: 2\r\n\r\nok",
}

// TestBrokenHeads guards against a response whose head is broken and that is taken for an answer, with what the target did not
// mean as its status, its headers or its body.
func TestBrokenHeads(t *testing.T) {
	for name, raw := range brokenHeads {
		t.Run(name, func(t *testing.T) {
			tg := newTarget(t, sendAndEnd(raw))
			c := New(Options{})
			defer c.Close()
			if got := outcome(t, c, tg.addr, "r"); got != "unknown" {
				t.Errorf("%q, want no answer", got)
			}
		})
	}
}

// TestHeadCutShort guards against a response that is taken for an answer although its target stopped in its head: at any byte,
// whatever the length of the body is said to be.
func TestHeadCutShort(t *testing.T) {
	for name, head := range map[string]string{
		"length":        "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 2\r\n\r\n",
		"length of 0":   "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 0\r\n\r\n",
		"chunked":       "HTTP/1.1 200 OK\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\n",
		"no length":     "HTTP/1.1 200 OK\r\nId: ID\r\nX-Last: 1\r\n\r\n",
		"no content":    "HTTP/1.1 204 No Content\r\nId: ID\r\n\r\n",
		"after interim": "HTTP/1.1 103 Early Hints\r\nLink: l\r\n\r\nHTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 0\r\n\r\n",
		"bare line end": "HTTP/1.1 200 OK\nId: ID\nContent-Length: 0\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			for n := range len(head) {
				if strings.HasSuffix(head[:n], "I") {
					continue // the placeholder of the id
				}
				tg := newTarget(t, sendAndEnd(head[:n]))
				c := New(Options{})
				if got := outcome(t, c, tg.addr, "r"); got != "unknown" {
					t.Errorf("cut after %q: %s, want no answer", head[:n], got)
				}
				c.Close()
			}
		})
	}
}
