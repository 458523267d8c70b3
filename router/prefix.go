package router

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/internal/clock"
)

// Bounds of the prefix index.
const (
	maxHolders = 16      // targets remembered for one piece
	maxPieces  = 1 << 18 // pieces remembered in all
)

// gapTrust multiplies the trust in a target's entries after a gap in its events.
const gapTrust = 0.5

// CharsPerToken estimates the length of a token in bytes of text.
const CharsPerToken = 4

// TokensIn estimates the number of tokens of n bytes of text.
func TokensIn(n int) ident.Tokens { return ident.Tokens((n + CharsPerToken - 1) / CharsPerToken) }

// BlockHashes appends the chained hashes of the whole pieces of a prompt to dst. The
// hash of a piece covers every piece before it.
func BlockHashes(dst []uint64, prompt []byte) []uint64 {
	const size = int(BlockTokens) * CharsPerToken
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

// holderSet is a small set of slots that replaces its oldest member when full.
type holderSet struct {
	n     uint8
	next  uint8
	slots [maxHolders]int32
	used  [maxHolders]clock.Time // when each was last used; 0 if only events end it
}

func (h *holderSet) slice() []int32 {
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

// lastUse returns when a member was last used; 0 if only events end it, or if it is none.
func (h *holderSet) lastUse(i int32) clock.Time {
	for j, s := range h.slice() {
		if s == i {
			return h.used[j]
		}
	}
	return 0
}

// forget drops the members that were last used before a point in time, which is each one's
// own.
func (h *holderSet) forget(before func(slot int32) clock.Time) {
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

// prefixes remembers which slots hold which pieces. It forgets the oldest pieces
// beyond its bound.
type prefixes struct {
	holders map[uint64]*holderSet
	order   []uint64 // ring of pieces in the order of their first mention
	next    int
}

func newPrefixes() *prefixes { return &prefixes{holders: map[uint64]*holderSet{}} }

func (p *prefixes) add(h uint64, i int32, now clock.Time) {
	set := p.holders[h]
	if set == nil {
		set = &holderSet{}
		p.holders[h] = set
		p.remember(h)
	}
	set.add(i, now)
}

func (p *prefixes) remember(h uint64) {
	if len(p.order) < maxPieces {
		p.order = append(p.order, h)
		return
	}
	delete(p.holders, p.order[p.next])
	p.order[p.next] = h
	p.next = (p.next + 1) % maxPieces
}

func (p *prefixes) remove(h uint64, i int32) {
	if set := p.holders[h]; set != nil {
		set.remove(i)
	}
}

func (p *prefixes) dropHolder(i int32) {
	for _, set := range p.holders {
		set.remove(i)
	}
}

// CacheEvent takes a target's cache event. Events older than the newest are
// dropped; a gap before the event lowers the trust in all entries of the target,
// and events without a gap restore it step by step.
func (r *Router) CacheEvent(id ident.TargetID, sequence uint64, stored, evicted []uint64) {
	i, ok := r.byID[id]
	if !ok {
		return
	}
	s, d := &r.slots[i], &r.details[i]
	if sequence <= d.event {
		return
	}
	if d.event > 0 && sequence > d.event+1 {
		s.trust *= gapTrust
	} else {
		s.trust += (1 - s.trust) * trustGain
	}
	s.trust = max(s.trust, minTrust)
	d.event = sequence
	for _, h := range stored {
		r.prefixes.add(h, i, 0)
	}
	for _, h := range evicted {
		r.prefixes.remove(h, i)
	}
}

const (
	trustGain = 0.2
	minTrust  = 0.25
)

// RecordCached tells that a target has pieces in its cache, as it just used them.
func (r *Router) RecordCached(now clock.Time, id ident.TargetID, pieces []uint64) {
	i, ok := r.byID[id]
	if !ok {
		return
	}
	for _, h := range pieces {
		r.prefixes.add(h, i, now)
	}
}
