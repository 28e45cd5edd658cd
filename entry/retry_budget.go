package entry

import "sync"

const (
	// retryRatio is the number of retries allowed per accepted request.
	retryRatio = 0.2
	// retryBurst is the capacity of the token bucket.
	retryBurst = 50
)

// retryBudget is a token bucket that limits a host's retries in proportion to its
// requests, so that unreachable targets do not cause a retry storm.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

func newRetryBudget() *retryBudget {
	return &retryBudget{tokens: retryBurst}
}

// recordRequest adds the retries earned by one accepted request.
func (b *retryBudget) recordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retryRatio, retryBurst)
}

// allowRetry takes one retry from the budget. It returns false if none is left.
func (b *retryBudget) allowRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
