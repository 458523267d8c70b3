package router

// Load pattern: short questions and long prompts wait at the same engines, which process more
// urgent requests first. If a short question counted the long prompts ahead of it as its own wait,
// it would be sent to another region or refused although it would be served at once. A long prompt,
// in turn, is delayed by every short question that arrives.
//
// Waiting prompts are therefore counted by level: a request waits behind requests of the same or a
// lower level and delays those of higher levels. Each urgency has a level for regular requests and one
// for those that are deferred behind them; see admit.Contest.

// Urgency is the queue priority of a request at engines. 0 is the most urgent.
type Urgency uint8

const (
	// lastUrgency is the last urgency that is distinguished. Higher values count as this one.
	lastUrgency = 2
	// urgencyLevels is the number of levels: two for each urgency.
	urgencyLevels = 2 * (lastUrgency + 1)
)

// level returns the level of a request, from 0 to urgencyLevels-1.
func (req *Request) level() int {
	level := 2 * min(int(req.Urgency), lastUrgency)
	if req.Deferred {
		level++
	}
	return level
}

// urgencyQueue counts own prompts without a first token at a target, by level.
type urgencyQueue [urgencyLevels]struct{ tokens, requests float64 }

func (uq *urgencyQueue) add(level int, tokens float64) {
	uq[level].tokens += tokens
	uq[level].requests++
}

func (uq *urgencyQueue) remove(level int, tokens float64) {
	l := &uq[level]
	l.tokens = max(0, l.tokens-tokens)
	l.requests = max(0, l.requests-1)
}

// lessUrgent returns the tokens and requests of higher levels than a level.
func (uq *urgencyQueue) lessUrgent(level int) (tokens, requests float64) {
	for _, l := range uq[level+1:] {
		tokens += l.tokens
		requests += l.requests
	}
	return tokens, requests
}
