// Package standin holds small fakes of a model engine and of a plain service, to
// run beside the daemon in demos and tests, in process or as processes of their own.
//
// Model is the engine's queueing behaviour without I/O: continuous batching with
// chunked prefill, a bounded prefix cache and priorities. Engine serves it over
// HTTP; the policy benchmarks drive it directly.
package standin

import (
	"slices"
	"time"

	"github.com/hickoryridge/hickoryridge/desired"
	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/router"
)

// Rates describes an engine's speed.
type Rates struct {
	Prefill     ident.TokensPerSecond // prompt tokens
	StepBase    time.Duration         // of one step, whatever the batch
	StepPerSeq  time.Duration         // for each answer in the batch
	Batch       int                   // answers and prompts at once
	ChunkMixed  ident.Tokens          // prompt tokens in a step beside answers
	ChunkAlone  ident.Tokens          // prompt tokens in a step of a prefill engine
	CachePieces int                   // pieces in the prefix cache
	ChangeTime  time.Duration         // of a role change or a load
}

// Decode returns the rate of an engine that only generates answers, at a full batch.
func (r Rates) Decode() ident.TokensPerSecond {
	step := r.StepBase + time.Duration(r.Batch)*r.StepPerSeq
	return ident.TokensPerSecond(float64(r.Batch) / step.Seconds())
}

// DefaultRates resembles one accelerator with a mid-sized model.
func DefaultRates() Rates {
	return Rates{
		Prefill: 10_000, StepBase: 12 * time.Millisecond, StepPerSeq: 150 * time.Microsecond,
		Batch: 64, ChunkMixed: 512, ChunkAlone: 2048, CachePieces: 512, ChangeTime: 3 * time.Second,
	}
}

// Work is one request at an engine.
type Work struct {
	ID       string
	Prompt   ident.Tokens
	Pieces   []uint64
	Answer   int  // tokens to generate
	Imported bool // its KV cache was taken over: nothing to process
	Export   bool // process the prompt only
	Priority int
}

type sequence struct {
	Work
	left    ident.Tokens // prompt tokens still to be processed
	emitted int
	begun   bool
}

// Output is what a step produced for one request.
type Output struct {
	ID    string
	Token int // ordinal of the token, from 0; -1 if the prompt was processed only
	Done  bool
}

// Model is the queue of one engine. It is not safe for concurrent use.
type Model struct {
	rates   Rates
	role    desired.Role
	waiting []*sequence // prompts, in the order of service
	running []*sequence // answers
	cache   *pieceCache

	// Prefilled and Hit count prompt tokens processed and taken from the cache.
	Prefilled, Hit ident.Tokens
}

// NewModel returns an idle engine.
func NewModel(r Rates, role desired.Role) *Model {
	return &Model{rates: r, role: role, cache: newPieceCache(r.CachePieces)}
}

// SetRole changes the engine's role.
func (m *Model) SetRole(r desired.Role) { m.role = r }

// Role returns the engine's role.
func (m *Model) Role() desired.Role { return m.role }

// Running returns the number of requests in the engine.
func (m *Model) Running() int { return len(m.running) + len(m.waiting) }

// Backlog returns the prompt tokens that wait to be processed.
func (m *Model) Backlog() ident.Tokens {
	var n ident.Tokens
	for _, s := range m.waiting {
		n += s.left
	}
	return n
}

// Add puts a request in the queue, behind those of its priority and above.
func (m *Model) Add(w Work) {
	s := &sequence{Work: w, left: w.Prompt}
	if w.Imported {
		s.left = 0
	}
	i, _ := slices.BinarySearchFunc(m.waiting, w.Priority, func(q *sequence, p int) int {
		if q.Priority >= p {
			return -1
		}
		return 1
	})
	m.waiting = slices.Insert(m.waiting, i, s)
}

// Cancel removes a request.
func (m *Model) Cancel(id string) {
	same := func(s *sequence) bool { return s.ID == id }
	m.waiting = slices.DeleteFunc(m.waiting, same)
	m.running = slices.DeleteFunc(m.running, same)
}

// Clear removes every request and forgets the cache, as a crash does.
func (m *Model) Clear() {
	m.waiting = nil
	m.running = nil
	m.cache = newPieceCache(m.rates.CachePieces)
}

// Step runs one step of the batch. It returns the step's length, or 0 if there is
// nothing to do, and what is produced at its end.
func (m *Model) Step() (time.Duration, []Output) {
	if m.Running() == 0 {
		return 0, nil
	}
	var out []Output
	d := m.rates.StepBase + time.Duration(len(m.running))*m.rates.StepPerSeq
	kept := m.running[:0]
	for _, s := range m.running {
		out = append(out, m.emit(s))
		if s.emitted < s.Answer {
			kept = append(kept, s)
		}
	}
	m.running = kept
	used, finished := m.prefill()
	d += time.Duration(float64(used) / float64(m.rates.Prefill) * float64(time.Second))
	return d, append(out, finished...)
}

func (m *Model) emit(s *sequence) Output {
	o := Output{ID: s.ID, Token: s.emitted, Done: s.emitted+1 >= s.Answer}
	s.emitted++
	return o
}

// prefill processes one chunk of prompts and moves the processed ones on.
func (m *Model) prefill() (used ident.Tokens, out []Output) {
	budget := m.rates.ChunkMixed
	if m.role == desired.RolePrefill {
		budget = m.rates.ChunkAlone
	}
	for len(m.waiting) > 0 && len(m.running) < m.rates.Batch {
		s := m.waiting[0]
		if !s.begun {
			m.begin(s)
		}
		n := min(s.left, budget-used)
		s.left -= n
		used += n
		if s.left > 0 {
			break
		}
		m.waiting = m.waiting[1:]
		out = append(out, m.processed(s))
	}
	m.Prefilled += used
	return used, out
}

// begin takes the known beginning of a prompt from the cache.
func (m *Model) begin(s *sequence) {
	s.begun = true
	if s.Imported {
		return
	}
	hit := min(ident.Tokens(m.cache.prefix(s.Pieces))*router.BlockTokens, s.left)
	s.left -= hit
	m.Hit += hit
}

func (m *Model) processed(s *sequence) Output {
	m.cache.insert(s.Pieces)
	if s.Export {
		return Output{ID: s.ID, Token: -1, Done: true}
	}
	o := m.emit(s)
	if !o.Done {
		m.running = append(m.running, s)
	}
	return o
}

// TakeEvents returns the pieces that entered and left the cache since the
// previous call.
func (m *Model) TakeEvents() (stored, evicted []uint64) { return m.cache.take() }

// pieceCache is a bounded set of pieces that drops the least recently used.
type pieceCache struct {
	size    int
	tick    uint64
	used    map[uint64]uint64
	order   []uint64 // pieces by insertion; stale entries are skipped
	stored  []uint64
	evicted []uint64
}

func newPieceCache(size int) *pieceCache {
	return &pieceCache{size: size, used: map[uint64]uint64{}}
}

func (c *pieceCache) prefix(pieces []uint64) int {
	n := 0
	for _, h := range pieces {
		if _, ok := c.used[h]; !ok {
			break
		}
		c.tick++
		c.used[h] = c.tick
		n++
	}
	return n
}

func (c *pieceCache) insert(pieces []uint64) {
	for _, h := range pieces {
		c.tick++
		if _, ok := c.used[h]; !ok {
			c.stored = append(c.stored, h)
			c.order = append(c.order, h)
		}
		c.used[h] = c.tick
	}
	for len(c.used) > c.size {
		c.evictOldest()
	}
}

// evictOldest drops the least recently used piece. The scan is short: the order
// of insertion is close to that of use.
func (c *pieceCache) evictOldest() {
	const window = 16
	best := 0
	for i := 1; i < min(window, len(c.order)); i++ {
		if c.used[c.order[i]] < c.used[c.order[best]] {
			best = i
		}
	}
	h := c.order[best]
	c.order = slices.Delete(c.order, best, best+1)
	delete(c.used, h)
	c.evicted = append(c.evicted, h)
}

func (c *pieceCache) take() (stored, evicted []uint64) {
	stored, evicted = c.stored, c.evicted
	c.stored, c.evicted = nil, nil
	return stored, evicted
}
