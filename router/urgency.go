package router

// Load pattern: short questions and long prompts wait at the same engines, which process more
// urgent requests first. If a short question counted the long prompts ahead of it as its own wait,
// it would be sent to another region or refused although it would be served at once. A long prompt,
// in turn, is delayed by every short question that arrives.
//
// Waiting prompts are therefore counted by urgency: a request waits behind requests of the same or
// higher urgency and delays those of lower urgency.

// Urgency is the queue priority of a request at engines. 0 is the most urgent.
type Urgency uint8

// urgencyLevels is the number of urgencies that are distinguished. Higher values count as the last
// level.
const urgencyLevels = 3

// level returns the urgency level of u, from 0 to urgencyLevels-1.
func (u Urgency) level() int { return min(int(u), urgencyLevels-1) }

// urgencyQueue counts own prompts without a first token at a target, by urgency level.
type urgencyQueue [urgencyLevels]struct{ tokens, requests float64 }

func (uq *urgencyQueue) add(u Urgency, tokens float64) {
	uq[u.level()].tokens += tokens
	uq[u.level()].requests++
}

func (uq *urgencyQueue) remove(u Urgency, tokens float64) {
	level := &uq[u.level()]
	level.tokens = max(0, level.tokens-tokens)
	level.requests = max(0, level.requests-1)
}

// lessUrgent returns the tokens and requests of lower urgency than a level.
func (uq *urgencyQueue) lessUrgent(level int) (tokens, requests float64) {
	for _, l := range uq[level+1:] {
		tokens += l.tokens
		requests += l.requests
	}
	return tokens, requests
}
