// Package budget bounds the memory that a process keeps of what others send.
//
// Each connection has a bound of its own, but many connections come at once. So what is kept beyond a small
// part of each draws from a budget of the process. One source, such as a target, may draw only a share of it,
// so that a faulty one leaves something to the others.
package budget

import (
	"sync"

	"github.com/hickoryridge/hickoryridge/ident"
)

// HeaderLine is the memory for one HTTP header besides its text.
const HeaderLine ident.Bytes = 128

// sourceShare is the fraction of a budget that one source may draw.
const sourceShare = 0.75

// Budget is a number of bytes to draw from. It is safe for concurrent use.
type Budget struct {
	limit ident.Bytes

	mu      sync.Mutex
	drawn   ident.Bytes
	sources map[string]ident.Bytes // drawn by source
}

// New returns a budget of limit bytes.
func New(limit ident.Bytes) *Budget {
	return &Budget{limit: limit, sources: map[string]ident.Bytes{}}
}

// Drawn returns the bytes that are drawn now.
func (b *Budget) Drawn() ident.Bytes {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.drawn
}

// draw changes the bytes that a source has drawn by n. It returns false, and changes nothing, if that would exceed
// the budget or the source's share.
func (b *Budget) draw(source string, n ident.Bytes) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	of := b.sources[source] + n
	if n > 0 && (b.drawn+n > b.limit || float64(of) > sourceShare*float64(b.limit)) {
		return false
	}
	b.drawn += n
	b.sources[source] = of
	if of == 0 {
		delete(b.sources, source)
	}
	return true
}

// Account is what one connection or message has drawn from a budget. It must be released. It is not safe for
// concurrent use.
type Account struct {
	budget *Budget
	source string
	free   ident.Bytes // what is kept without drawing
	drawn  ident.Bytes
}

// Account returns an account of a source, which keeps the first free bytes without drawing. The budget may be nil,
// which bounds nothing.
func (b *Budget) Account(source string, free ident.Bytes) Account {
	return Account{budget: b, source: source, free: free}
}

// Hold makes the account hold n bytes in all, more or fewer than before. It returns false, and changes nothing, if
// the budget does not allow it.
func (a *Account) Hold(n ident.Bytes) bool {
	if a.budget == nil {
		return true
	}
	more := max(0, n-a.free) - a.drawn
	if more == 0 {
		return true
	}
	if !a.budget.draw(a.source, more) {
		return false
	}
	a.drawn += more
	return true
}

// Release makes the account hold nothing.
func (a *Account) Release() { a.Hold(0) }
