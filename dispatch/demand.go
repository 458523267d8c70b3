package dispatch

import (
	"sync"

	"github.com/hickoryridge/hickoryridge/ident"
	"github.com/hickoryridge/hickoryridge/peer"
)

// answerLengthWeight is the weight of one answer in the moving average of a service's answer
// lengths.
const answerLengthWeight = 0.05

// demandCounter counts the tokens that callers request, by service, as input for the planner of
// engine roles. The limit that callers set on an answer is often far above the answer's length, so
// the expected length is the service's average, up to that limit. It is safe for concurrent use.
type demandCounter struct {
	mu        sync.Mutex
	byService map[ident.ServiceID]*serviceDemand
}

type serviceDemand struct {
	pending    peer.Demand // since the last call of take
	meanAnswer float64     // moving average in tokens; 0 before the first answer
}

func newDemandCounter() *demandCounter {
	return &demandCounter{byService: map[ident.ServiceID]*serviceDemand{}}
}

func (ds *demandCounter) service(s ident.ServiceID) *serviceDemand {
	if ds.byService[s] == nil {
		ds.byService[s] = &serviceDemand{}
	}
	return ds.byService[s]
}

// addRequest counts a request whose answer has at most bound tokens.
func (ds *demandCounter) addRequest(s ident.ServiceID, prompt, bound ident.Tokens) {
	ds.mu.Lock()
	defer ds.mu.Unlock()
	d := ds.service(s)
	expected := bound
	if d.meanAnswer > 0 {
		expected = min(bound, ident.Tokens(d.meanAnswer))
	}
	d.pending.Prefill += prompt
	d.pending.Decode += expected
}

// addAnswer updates the average with the length of a complete answer.
func (ds *demandCounter) addAnswer(s ident.ServiceID, n ident.Tokens) {
	ds.mu.Lock()
	defer ds.mu.Unlock()
	d := ds.service(s)
	if d.meanAnswer == 0 {
		d.meanAnswer = float64(n)
		return
	}
	d.meanAnswer += (float64(n) - d.meanAnswer) * answerLengthWeight
}

// take returns the demand since the previous call, for the services that had any.
func (ds *demandCounter) take() map[ident.ServiceID]peer.Demand {
	ds.mu.Lock()
	defer ds.mu.Unlock()
	var taken map[ident.ServiceID]peer.Demand
	for s, d := range ds.byService {
		if d.pending == (peer.Demand{}) {
			continue
		}
		if taken == nil {
			taken = map[ident.ServiceID]peer.Demand{}
		}
		taken[s] = d.pending
		d.pending = peer.Demand{}
	}
	return taken
}
