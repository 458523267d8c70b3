package router

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
)

// Limits of the prefix index.
const (
	maxHolders = 16      // targets recorded for each block
	maxBlocks  = 1 << 18 // blocks recorded in total
)

// gapConfidence is the factor by which a gap in a target's cache events reduces the confidence in
// its entries.
const gapConfidence = 0.5

// BytesPerToken is the estimated length of a token in bytes of text.
const BytesPerToken = 4

// TokensIn returns the estimated number of tokens in n bytes of text.
func TokensIn(n int) ident.Tokens { return ident.Tokens((n + BytesPerToken - 1) / BytesPerToken) }

// BlockHashes appends the chained hashes of a prompt's whole blocks to dst. The hash of a block
// covers all blocks before it.
func BlockHashes(dst []uint64, prompt []byte) []uint64 {
	const size = int(BlockTokens) * BytesPerToken
	var previous [8]byte
	var d xxhash.Digest
	for len(prompt) >= size {
		d.Reset()
		_, _ = d.Write(previous[:]) // xxhash never fails
		_, _ = d.Write(prompt[:size])
		h := d.Sum64()
		dst = append(dst, h)
		binary.LittleEndian.PutUint64(previous[:], h)
		prompt = prompt[size:]
	}
	return dst
}

// holderSet is a small set of slots. When it is full, new members replace the others in turn, in the
// order in which they were added unless a member has been removed since.
type holderSet struct {
	n     uint8
	next  uint8
	slots [maxHolders]int32
	used  [maxHolders]clock.Time // last use of each slot; 0 if only an eviction event removes it
}

func (h *holderSet) members() []int32 {
	if h == nil {
		return nil
	}
	return h.slots[:h.n]
}

func (h *holderSet) add(i int32, now clock.Time) {
	for j, s := range h.slots[:h.n] {
		if s == i {
			h.used[j] = now
			return
		}
	}
	if h.n < maxHolders {
		h.slots[h.n], h.used[h.n] = i, now
		h.n++
		return
	}
	h.slots[h.next], h.used[h.next] = i, now
	h.next = (h.next + 1) % maxHolders
}

// lastUse returns when a member was last used. It returns 0 if only an eviction event removes the
// member, or if the slot is not a member.
func (h *holderSet) lastUse(i int32) clock.Time {
	for j, s := range h.members() {
		if s == i {
			return h.used[j]
		}
	}
	return 0
}

// expire removes the members whose last use is before the time that before returns for them.
func (h *holderSet) expire(before func(slot int32) clock.Time) {
	for j := int(h.n) - 1; j >= 0; j-- {
		if h.used[j] > 0 && h.used[j].Before(before(h.slots[j])) {
			h.remove(h.slots[j])
		}
	}
}

func (h *holderSet) remove(i int32) {
	for j, s := range h.slots[:h.n] {
		if s == i {
			h.n--
			h.slots[j], h.used[j] = h.slots[h.n], h.used[h.n]
			h.next = 0
			return
		}
	}
}

// prefixIndex records which slots hold which blocks. It drops the oldest blocks beyond maxBlocks.
type prefixIndex struct {
	holders map[uint64]*holderSet
	order   []uint64 // ring buffer of blocks in the order of insertion
	next    int
}

func newPrefixIndex() *prefixIndex { return &prefixIndex{holders: map[uint64]*holderSet{}} }

func (p *prefixIndex) add(h uint64, i int32, now clock.Time) {
	set := p.holders[h]
	if set == nil {
		set = &holderSet{}
		p.holders[h] = set
		p.addBlock(h)
	}
	set.add(i, now)
}

// addBlock adds a block to the order and drops the oldest block if the index is full.
func (p *prefixIndex) addBlock(h uint64) {
	if len(p.order) < maxBlocks {
		p.order = append(p.order, h)
		return
	}
	delete(p.holders, p.order[p.next])
	p.order[p.next] = h
	p.next = (p.next + 1) % maxBlocks
}

func (p *prefixIndex) remove(h uint64, i int32) {
	if set := p.holders[h]; set != nil {
		set.remove(i)
	}
}

// dropHolder removes a slot from all blocks.
func (p *prefixIndex) dropHolder(i int32) {
	for _, set := range p.holders {
		set.remove(i)
	}
}

// CacheEvent applies a cache event of a target. Events that are not newer than the newest are
// dropped. A gap before an event reduces the confidence in all entries of the target, and events
// without a gap restore it gradually.
func (r *Router) CacheEvent(id ident.TargetID, sequence uint64, stored, evicted []uint64) {
	i, ok := r.byID[id]
	if !ok {
		return
	}
	s, d := &r.slots[i], &r.details[i]
	if sequence <= d.cacheSequence {
		return
	}
	if d.cacheSequence > 0 && sequence > d.cacheSequence+1 {
		s.confidence *= gapConfidence
	} else {
		s.confidence += (1 - s.confidence) * confidenceGain
	}
	s.confidence = max(s.confidence, minConfidence)
	d.cacheSequence = sequence
	for _, h := range stored {
		r.prefixes.add(h, i, 0)
	}
	for _, h := range evicted {
		r.prefixes.remove(h, i)
	}
}

const (
	// confidenceGain is the fraction of the missing confidence that an event without a gap
	// restores.
	confidenceGain = 0.2
	// minConfidence is the lower bound of the confidence.
	minConfidence = 0.25
)

// RecordCached records that a target has just used blocks and therefore has them in its cache.
func (r *Router) RecordCached(now clock.Time, id ident.TargetID, blocks []uint64) {
	i, ok := r.byID[id]
	if !ok {
		return
	}
	for _, h := range blocks {
		r.prefixes.add(h, i, now)
	}
}
