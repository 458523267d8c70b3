package dispatch

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// digestLength is the length of a request's digest in bytes.
const digestLength = 16

// Digest identifies the content of a forwarded request: two requests with the same digest ask for the
// same work. They may come from callers' retries, which have other ids and deadlines. A
// cryptographic hash keeps a caller from making a request that is mistaken for another one.
func (f *ForwardRequest) Digest() string {
	fields := []string{f.Method, f.Host, f.URI, f.Credential}
	for _, p := range f.Parts {
		fields = append(fields, p.ID)
	}
	return digest(f.Body, fields...)
}

// digest returns the digest of a request with a body and other fields.
func digest(body []byte, fields ...string) string {
	h := sha256.New()
	for _, s := range fields {
		_, _ = fmt.Fprintf(h, "%d:%s", len(s), s) // lengths keep fields apart; a hash never fails
	}
	h.Write(body) // as above
	return hex.EncodeToString(h.Sum(nil)[:digestLength])
}
