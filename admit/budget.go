package admit

// RetryBudget limits retries to a fraction of the requests, so that a failing service does not
// receive more load than a healthy one. The accumulated balance allows all answers in progress at
// an engine that crashes to resume elsewhere at once.
type RetryBudget struct {
	balance int // in hundredths of a retry
}

// Parameters of a budget, in hundredths of a retry.
const (
	retryCost        = 100
	budgetPerRequest = 20              // earned by each request
	budgetCap        = 128 * retryCost // largest balance
	budgetStart      = 64 * retryCost  // initial balance: the answers in progress at one engine
)

// NewRetryBudget returns a budget with an initial balance.
func NewRetryBudget() *RetryBudget { return &RetryBudget{balance: budgetStart} }

// Request counts a request.
func (b *RetryBudget) Request() { b.balance = min(budgetCap, b.balance+budgetPerRequest) }

// Retry reports whether a retry is allowed, and counts it if so.
func (b *RetryBudget) Retry() bool {
	if b.balance < retryCost {
		return false
	}
	b.balance -= retryCost
	return true
}
