package receipt

import (
	"strings"
	"testing"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/state"
)

// TestParseKey checks which keys are accepted, and that only a version 7 UUID yields a time.
func TestParseKey(t *testing.T) {
	for name, test := range map[string]struct {
		key  string
		time state.UnixMillis
		kind fault.Kind
	}{
		"plain":             {"pay-17", 0, 0},
		"uuid of version 7": {"018bcfe5-6800-7abc-8def-0123456789ab", 0x018bcfe56800, 0},
		"uuid of version 4": {"018bcfe5-6800-4abc-8def-0123456789ab", 0, 0},
		"missing":           {"", 0, fault.KeyMissing},
		"too long":          {strings.Repeat("k", MaxKeyBytes+1), 0, fault.KeyMalformed},
		"control character": {"a\nb", 0, fault.KeyMalformed},
	} {
		t.Run(name, func(t *testing.T) {
			_, at, err := ParseKey(test.key)
			if at != test.time || (err != nil) != (test.kind != 0) || (err != nil && !fault.Is(err, test.kind)) {
				t.Errorf("got time %d, error %v", at, err)
			}
		})
	}
}

// TestDigestDistinguishesRequests checks that the method, the path, the content type, the body and
// the boundaries between them all affect the digest.
func TestDigestDistinguishesRequests(t *testing.T) {
	a := DigestOf("POST", "/payments", "json", []byte("1"))
	for _, b := range []string{
		string(DigestOf("PUT", "/payments", "json", []byte("1"))), string(DigestOf("POST", "/payment", "sjson", []byte("1"))),
		string(DigestOf("POST", "/payments", "json", []byte("2"))),
	} {
		if string(a) == b {
			t.Error("two different requests have the same digest")
		}
	}
}
