// Package key finds the workspace that holds a caller's API key.
//
// An Index is built once for each document and holds digests, so that a key exists only where an operator
// wrote it down and while a request is read. Find takes no time that depends on the number of keys, and
// does not allocate. Whether a key is valid is a question to the index of the document that is in force
// at that moment; a Digest says nothing about it.
package key

import (
	"crypto/sha256"
	"fmt"
)

// MaxBytes is the longest API key, in bytes.
const MaxBytes = 256

// Digest identifies a key without revealing it. A cryptographic hash keeps a caller from finding another key
// with the same digest.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key. A key that is longer than MaxBytes has the digest of its beginning
// and is in no Index.
func DigestOf(key string) Digest {
	var buf [MaxBytes + 1]byte // avoids an allocation for the conversion
	n := copy(buf[:], key)
	return sha256.Sum256(buf[:n])
}

// Validate returns an error if a key is empty, too long, or holds bytes that a header cannot carry. The error
// does not contain the key.
func Validate(key string) error {
	if key == "" || len(key) > MaxBytes {
		return fmt.Errorf("want 1 to %d bytes, not %d", MaxBytes, len(key))
	}
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' {
			return fmt.Errorf("want printable ASCII without spaces, not the byte at position %d", i)
		}
	}
	return nil
}

// Index maps keys to their holders, which are numbers that its owner assigns. It is safe for concurrent use
// once all keys have been added. The zero value holds no key.
type Index struct {
	holders map[Digest]int32
}

// Add records that a holder has a key.
func (ix *Index) Add(key string, holder int) {
	if ix.holders == nil {
		ix.holders = map[Digest]int32{}
	}
	ix.holders[DigestOf(key)] = int32(holder)
}

// Find returns the holder of a key, and false if there is none.
func (ix *Index) Find(d Digest) (holder int, ok bool) {
	n, ok := ix.holders[d]
	return int(n), ok
}
