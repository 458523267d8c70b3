package receipt

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"

	"github.com/hickoryridge/hickoryridge/fault"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/state"
)

// MaxKeyBytes is the maximum length of an idempotency key.
const MaxKeyBytes = 255

// uuidDigits is the length of a UUID in hexadecimal digits.
const uuidDigits = 32

// ParseKey validates an idempotency key and returns the time that it contains, or 0 if it contains
// none. A version 7 UUID contains its creation time, so its receipt can be deleted completely after
// the retention period. Any other key leaves a tombstone permanently. Errors: fault.KeyMissing,
// fault.KeyMalformed.
func ParseKey(key string) (ident.IdempotencyKey, state.UnixMillis, error) {
	if key == "" {
		return "", 0, fault.New(fault.KeyMissing, "this operation runs at most once and requires the header Idempotency-Key")
	}
	if len(key) > MaxKeyBytes {
		return "", 0, fault.New(fault.KeyMalformed, "idempotency key has %d bytes, limit %d", len(key), MaxKeyBytes)
	}
	for i := range len(key) {
		if key[i] < ' ' || key[i] > '~' {
			return "", 0, fault.New(fault.KeyMalformed, "idempotency key has the non-printable byte %#x at position %d", key[i], i)
		}
	}
	return ident.IdempotencyKey(key), uuidTime(key), nil
}

func uuidTime(key string) state.UnixMillis {
	digits := strings.ReplaceAll(key, "-", "")
	if len(key) != uuidDigits+4 || len(digits) != uuidDigits {
		return 0
	}
	raw, err := hex.DecodeString(digits)
	if err != nil || raw[6]>>4 != 7 {
		return 0
	}
	return state.UnixMillis(binary.BigEndian.Uint64(raw) >> 16)
}

// DigestOf returns the digest that distinguishes a repeated request from a different request under
// the same key.
func DigestOf(method, path, contentType string, body []byte) ident.Digest {
	h := sha256.New()
	for _, part := range []string{method, path, contentType} {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(part)))
		_, _ = h.Write(n[:]) // hash.Hash never returns an error
		_, _ = h.Write([]byte(part))
	}
	_, _ = h.Write(body)
	return ident.Digest(hex.EncodeToString(h.Sum(nil)))
}
