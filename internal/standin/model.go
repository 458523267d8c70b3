// Package standin implements a fake model engine and a fake plain HTTP service for demos
// and tests. They run in the process of a test or as processes of their own.
//
// Model is the queueing model of an engine, without I/O: continuous batching with chunked
// prefill, a bounded prefix cache and priorities. Engine serves a Model over HTTP; the
// policy benchmarks step it in virtual time. Generated text is a function of the prompt, so
// that clients can verify an answer and engines can resume one.
package standin

import (
	"slices"
	"time"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/router"
)

// Rates describes the speed and capacity of an engine.
type Rates struct {
	PrefillRate    ident.TokensPerSecond // prompt tokens per second
	StepBase       time.Duration         // fixed time of a step
	StepPerSeq     time.Duration         // additional time per sequence that decodes
	MaxBatch       int                   // maximum number of sequences that decode
	MixedChunk     ident.Tokens          // prompt tokens per step, if the engine also decodes
	PrefillChunk   ident.Tokens          // prompt tokens per step of a prefill engine
	CacheBlocks    int                   // blocks in the prefix cache
	RoleChangeTime time.Duration         // duration of a role change or a model load
}

// DecodeRate returns the rate of an engine that only decodes, at a full batch.
func (r Rates) DecodeRate() ident.TokensPerSecond {
	step := r.StepBase + time.Duration(r.MaxBatch)*r.StepPerSeq
	return ident.TokensPerSecond(float64(r.MaxBatch) / step.Seconds())
}

// DefaultRates returns the rates of one accelerator with a mid-sized model.
func DefaultRates() Rates {
	return Rates{
		PrefillRate: 10_000, StepBase: 12 * time.Millisecond, StepPerSeq: 150 * time.Microsecond,
		MaxBatch: 64, MixedChunk: 512, PrefillChunk: 2048, CacheBlocks: 512, RoleChangeTime: 3 * time.Second,
	}
}

// Work is one request at an engine.
type Work struct {
	ID           string
	PromptTokens ident.Tokens
	Blocks       []uint64 // hashes of the prompt's blocks
	AnswerTokens int      // tokens to generate
	Imported     bool     // the KV cache comes from another engine, so the prompt needs no prefill
	PrefillOnly  bool     // prefill only; the answer is generated elsewhere
	Priority     int      // a higher one is served first
}

// sequence is a request in the queue or in the batch.
type sequence struct {
	Work
	remaining ident.Tokens // prompt tokens that are not processed yet
	emitted   int          // answer tokens generated
	started   bool         // the cache was searched for the prompt
}

// Output is the output of a step for one request.
type Output struct {
	ID    string
	Token int // index of the generated token, from 0; -1 for a prefill without a token
	Done  bool
}

// Model is the queue and the batch of one engine. It is not safe for concurrent use.
type Model struct {
	rates   Rates
	role    desired.Role
	waiting []*sequence // sequences in prefill, in the order of service
	running []*sequence // sequences that decode
	cache   *blockCache

	// PrefilledTokens and CachedTokens are the numbers of prompt tokens that were processed and that were
	// found in the prefix cache.
	PrefilledTokens, CachedTokens ident.Tokens
}

// NewModel returns the model of an idle engine with an empty cache.
func NewModel(r Rates, role desired.Role) *Model {
	return &Model{rates: r, role: role, cache: newBlockCache(r.CacheBlocks)}
}

// SetRole changes the engine's role, which sets the prefill chunk of a step.
func (m *Model) SetRole(r desired.Role) { m.role = r }

// Role returns the engine's role.
func (m *Model) Role() desired.Role { return m.role }

// Running returns the number of requests in the engine, queued ones included.
func (m *Model) Running() int { return len(m.running) + len(m.waiting) }

// BacklogTokens returns the number of prompt tokens that are queued for prefill.
func (m *Model) BacklogTokens() ident.Tokens {
	var n ident.Tokens
	for _, s := range m.waiting {
		n += s.remaining
	}
	return n
}

// Add queues a request behind those of the same or a higher priority.
func (m *Model) Add(w Work) {
	s := &sequence{Work: w, remaining: w.PromptTokens}
	if w.Imported {
		s.remaining = 0
	}
	i, _ := slices.BinarySearchFunc(m.waiting, w.Priority, func(q *sequence, p int) int {
		if q.Priority >= p {
			return -1
		}
		return 1
	})
	m.waiting = slices.Insert(m.waiting, i, s)
}

// Cancel removes a request from the queue and the batch.
func (m *Model) Cancel(id string) {
	same := func(s *sequence) bool { return s.ID == id }
	m.waiting = slices.DeleteFunc(m.waiting, same)
	m.running = slices.DeleteFunc(m.running, same)
}

// Clear removes every request and empties the cache, as a crash does.
func (m *Model) Clear() {
	m.waiting = nil
	m.running = nil
	m.cache = newBlockCache(m.rates.CacheBlocks)
}

// Step runs one step of the batch. It returns the step's duration, or 0 if no request is in
// the engine, and the output that is available at its end.
func (m *Model) Step() (time.Duration, []Output) {
	if m.Running() == 0 {
		return 0, nil
	}
	var out []Output
	d := m.rates.StepBase + time.Duration(len(m.running))*m.rates.StepPerSeq
	kept := m.running[:0]
	for _, s := range m.running {
		out = append(out, m.emitToken(s))
		if s.emitted < s.AnswerTokens {
			kept = append(kept, s)
		}
	}
	m.running = kept
	used, finished := m.prefill()
	d += time.Duration(float64(used) / float64(m.rates.PrefillRate) * float64(time.Second))
	return d, append(out, finished...)
}

// emitToken generates the next token of a sequence.
func (m *Model) emitToken(s *sequence) Output {
	o := Output{ID: s.ID, Token: s.emitted, Done: s.emitted+1 >= s.AnswerTokens}
	s.emitted++
	return o
}

// prefill processes one chunk of prompt tokens. Sequences whose prompt is complete emit their
// first token and start to decode, while the batch has room.
func (m *Model) prefill() (used ident.Tokens, out []Output) {
	budget := m.rates.MixedChunk
	if m.role == desired.RolePrefill {
		budget = m.rates.PrefillChunk
	}
	for len(m.waiting) > 0 && len(m.running) < m.rates.MaxBatch {
		s := m.waiting[0]
		if !s.started {
			m.applyCacheHit(s)
		}
		n := min(s.remaining, budget-used)
		s.remaining -= n
		used += n
		if s.remaining > 0 {
			break
		}
		m.waiting = m.waiting[1:]
		out = append(out, m.finishPrompt(s))
	}
	m.PrefilledTokens += used
	return used, out
}

// applyCacheHit skips the prefill of the blocks at the start of a prompt that are cached.
func (m *Model) applyCacheHit(s *sequence) {
	s.started = true
	if s.Imported {
		return
	}
	hit := min(ident.Tokens(m.cache.matchPrefix(s.Blocks))*router.BlockTokens, s.remaining)
	s.remaining -= hit
	m.CachedTokens += hit
}

// finishPrompt caches the blocks of a processed prompt and returns the first output.
func (m *Model) finishPrompt(s *sequence) Output {
	m.cache.insert(s.Blocks)
	if s.PrefillOnly {
		return Output{ID: s.ID, Token: -1, Done: true}
	}
	o := m.emitToken(s)
	if !o.Done {
		m.running = append(m.running, s)
	}
	return o
}

// TakeCacheEvents returns the hashes of the blocks that the cache stored and evicted since the
// previous call.
func (m *Model) TakeCacheEvents() (stored, evicted []uint64) { return m.cache.takeEvents() }

// blockCache is a bounded set of block hashes with approximate LRU eviction.
type blockCache struct {
	capacity       int
	clock          uint64            // logical time: number of uses so far
	lastUsed       map[uint64]uint64 // block hash to the time of its latest use
	insertionOrder []uint64          // block hashes, oldest first
	stored         []uint64
	evicted        []uint64
}

// newBlockCache returns an empty cache of at most capacity blocks.
func newBlockCache(capacity int) *blockCache {
	return &blockCache{capacity: capacity, lastUsed: map[uint64]uint64{}}
}

// matchPrefix returns the number of leading blocks that are cached and marks them as used.
func (c *blockCache) matchPrefix(hashes []uint64) int {
	n := 0
	for _, h := range hashes {
		if _, ok := c.lastUsed[h]; !ok {
			break
		}
		c.clock++
		c.lastUsed[h] = c.clock
		n++
	}
	return n
}

// insert adds blocks and evicts others if the cache is over its capacity.
func (c *blockCache) insert(hashes []uint64) {
	for _, h := range hashes {
		c.clock++
		if _, ok := c.lastUsed[h]; !ok {
			c.stored = append(c.stored, h)
			c.insertionOrder = append(c.insertionOrder, h)
		}
		c.lastUsed[h] = c.clock
	}
	for len(c.lastUsed) > c.capacity {
		c.evictOldest()
	}
}

// evictOldest evicts the least recently used of the blocks that were inserted first. It
// scans few blocks, since the order of insertion is close to the order of use.
func (c *blockCache) evictOldest() {
	const window = 16
	best := 0
	for i := 1; i < min(window, len(c.insertionOrder)); i++ {
		if c.lastUsed[c.insertionOrder[i]] < c.lastUsed[c.insertionOrder[best]] {
			best = i
		}
	}
	h := c.insertionOrder[best]
	c.insertionOrder = slices.Delete(c.insertionOrder, best, best+1)
	delete(c.lastUsed, h)
	c.evicted = append(c.evicted, h)
}

// takeEvents returns and resets the blocks stored and evicted since the previous call.
func (c *blockCache) takeEvents() (stored, evicted []uint64) {
	stored, evicted = c.stored, c.evicted
	c.stored, c.evicted = nil, nil
	return stored, evicted
}
