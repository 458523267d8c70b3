package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/target"
)

// RateLimit names a rate limit in the answers of a fake target and records the requests that arrive.
// It takes all of them, so that a test can count those beyond the limit. It is safe for concurrent
// use.
type RateLimit struct {
	mu       sync.Mutex
	rate     *ident.RequestsPerSecond // nil for no limit
	arrivals []time.Time
}

// Set names a rate from now on, or none if it is nil, and forgets earlier arrivals.
func (l *RateLimit) Set(rate *ident.RequestsPerSecond) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rate, l.arrivals = rate, nil
}

// Arrivals returns the times at which requests arrived since the limit was set, in order.
func (l *RateLimit) Arrivals() []time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]time.Time(nil), l.arrivals...)
}

// named records a request and returns the rate to name in its answer, or nil if there is none.
func (l *RateLimit) named() *ident.RequestsPerSecond {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rate != nil {
		l.arrivals = append(l.arrivals, time.Now())
	}
	return l.rate
}

// wrap returns a handler that names the limit in the answers of next.
func (l *RateLimit) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if rate := l.named(); rate != nil {
			w.Header().Set(target.HeaderRequestRate, strconv.FormatFloat(float64(*rate), 'f', -1, 64))
		}
		next.ServeHTTP(w, r)
	})
}

// handle sets the limit from a JSON body: a number, or null for none.
func (l *RateLimit) handle(w http.ResponseWriter, r *http.Request) {
	var rate *ident.RequestsPerSecond
	if err := json.NewDecoder(r.Body).Decode(&rate); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.Set(rate)
}
