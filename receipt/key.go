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

// MaxKeyBytes is the longest idempotency key in bytes.
const MaxKeyBytes = 255

// uuidDigits is the length of a UUID in hexadecimal digits.
const uuidDigits = 32

// ParseKey validates an idempotency key and returns the time inside it, or 0. A
// UUID of version 7 carries the time at which it was made; its receipt leaves
// nothing behind after the retention. Any other key leaves a mark for ever.
func ParseKey(key string) (ident.IdempotencyKey, state.UnixMillis, error) {
	if key == "" {
		return "", 0, fault.New(fault.KeyMissing, "this operation may run once only: give an Idempotency-Key")
	}
	if len(key) > MaxKeyBytes {
		return "", 0, fault.New(fault.KeyMalformed, "key of %d bytes, limit %d", len(key), MaxKeyBytes)
	}
	for i := range len(key) {
		if key[i] < ' ' || key[i] > '~' {
			return "", 0, fault.New(fault.KeyMalformed, "key has the byte %#x at position %d", key[i], i)
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

// DigestOf returns the digest by which a repeated request is told from another
// one under the same key.
func DigestOf(method, path, contentType string, body []byte) ident.Digest {
	h := sha256.New()
	for _, part := range []string{method, path, contentType} {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(part)))
		_, _ = h.Write(n[:]) // a hash never fails
		_, _ = h.Write([]byte(part))
	}
	_, _ = h.Write(body)
	return ident.Digest(hex.EncodeToString(h.Sum(nil)))
}
