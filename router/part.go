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

// PartTokens returns the length of a prompt that is given in parts.
func PartTokens(parts []Part) ident.Tokens {
	var n ident.Tokens
	for _, p := range parts {
		n += p.Tokens
	}
	return n
}

// PartBlockHashes appends the chained hashes of the blocks of a prompt that is given in parts. The
// last part belongs to the request alone and is not included. The end of each part is rounded to
// whole blocks, half a block upwards.
func PartBlockHashes(dst []uint64, parts []Part) []uint64 {
	var previous [8]byte
	var d xxhash.Digest
	blocks, tokens := 0, ident.Tokens(0)
	for i, p := range parts {
		if i == len(parts)-1 {
			break
		}
		tokens += p.Tokens
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
