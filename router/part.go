package router

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/hickoryridge/hickoryridge/ident"
)

// Part is a part of a prompt that other prompts may share, such as a customer's history. A target
// caches a part only as a whole, and only together with all parts before it.
type Part struct {
	ID     string       `msgpack:"id"`
	Tokens ident.Tokens `msgpack:"tokens"`
}

// MaxPromptTokens is the length of the longest prompt. It is more than an engine has memory for, and bounds what an
// instance computes for a prompt whose length somebody only claims: 128 KB of hashes.
const MaxPromptTokens ident.Tokens = 16 << 20

// PartTokens returns the length of a prompt that is given in parts, or any number above MaxPromptTokens if it is
// longer than that. Parts with a negative length have none.
func PartTokens(parts []Part) ident.Tokens {
	var n ident.Tokens
	for _, p := range parts {
		n = min(n+p.length(), MaxPromptTokens+1)
	}
	return n
}

// length returns the length of the part for sums, which do not overflow.
func (p Part) length() ident.Tokens { return min(max(0, p.Tokens), MaxPromptTokens+1) }

// PartBlockHashes appends the chained hashes of the blocks of a prompt that is given in parts. The
// last part belongs to the request alone and is not included. The end of each part is rounded to
// whole blocks, half a block upwards. Blocks after MaxPromptTokens are left out.
func PartBlockHashes(dst []uint64, parts []Part) []uint64 {
	var previous [8]byte
	var d xxhash.Digest
	blocks, tokens := 0, ident.Tokens(0)
	for i, p := range parts {
		if i == len(parts)-1 {
			break
		}
		tokens = min(tokens+p.length(), MaxPromptTokens)
		for ; (ident.Tokens(blocks)+1)*BlockTokens <= tokens+BlockTokens/2; blocks++ {
			d.Reset()
			_, _ = d.Write(previous[:]) // xxhash never fails
			_, _ = d.WriteString(p.ID)
			h := d.Sum64()
			dst = append(dst, h)
			binary.LittleEndian.PutUint64(previous[:], h)
		}
	}
	return dst
}
