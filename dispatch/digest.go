package dispatch

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash"
)

// digestLength is the length of a request's digest in bytes.
const digestLength = 16

// Digest identifies the content of a forwarded request: two requests with the same digest ask for the
// same work. They may come from callers' retries, which have other ids and deadlines. A
// cryptographic hash keeps a caller from making a request that is mistaken for another one.
func (f *ForwardRequest) Digest() string {
	h := sha256.New()
	writeField(h, f.Method)
	writeField(h, f.Host)
	writeField(h, f.URI)
	writeField(h, f.Credential)
	for _, p := range f.Parts {
		writeField(h, p.ID)
	}
	h.Write(f.Body) // the last field, and never fails
	return hex.EncodeToString(h.Sum(nil)[:digestLength])
}

// writeField writes a field and its length, so that fields cannot be mistaken for one another.
func writeField(h hash.Hash, s string) {
	_, _ = fmt.Fprintf(h, "%d:%s", len(s), s) // a hash never fails
}
