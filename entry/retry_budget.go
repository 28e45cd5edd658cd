package entry

import "sync"

const (
	// retryShare is the number of retries that each accepted request pays for.
	retryShare = 0.2
	// retryReserve is the largest number of retries saved up.
	retryReserve = 50
)

// retryBudget keeps the retries of a host in proportion to its requests, so
// that unreachable targets don't cause a storm of retries.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

func newRetryBudget() *retryBudget {
	return &retryBudget{tokens: retryReserve}
}

// deposit is called for each accepted request.
func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retryShare, retryReserve)
}

// take returns false if the budget is used up.
func (b *retryBudget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
