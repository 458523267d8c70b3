package admit

// RetryBudget bounds retries to a part of the requests, so that a failing service does
// not get more load than a healthy one. What is saved up lets the answers in progress
// at an engine that crashes go on elsewhere all at once.
type RetryBudget struct {
	saved int // in hundredths of a retry
}

// Parameters of a budget, in hundredths of a retry.
const (
	retryCost    = 100
	budgetEarned = 20              // for each request
	budgetCap    = 128 * retryCost // that may be saved up
	budgetStart  = 64 * retryCost  // at the start: the answers in progress at one engine
)

// NewRetryBudget returns a budget that allows some retries at once.
func NewRetryBudget() *RetryBudget { return &RetryBudget{saved: budgetStart} }

// Request counts one request.
func (b *RetryBudget) Request() { b.saved = min(budgetCap, b.saved+budgetEarned) }

// Retry reports whether a retry is allowed, and counts it.
func (b *RetryBudget) Retry() bool {
	if b.saved < retryCost {
		return false
	}
	b.saved -= retryCost
	return true
}
