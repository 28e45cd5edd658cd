package entry

import "sync"

const (
	// retryRatio is the number of retries that each accepted request pays for.
	retryRatio = 0.2
	// retryBurst is the largest number of retries saved up.
	retryBurst = 50
)

// retryBudget keeps the retries of a host in proportion to its requests, so
// that unreachable targets don't cause a storm of retries.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

func newRetryBudget() *retryBudget {
	return &retryBudget{tokens: retryBurst}
}

// recordRequest is called for each accepted request.
func (b *retryBudget) recordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retryRatio, retryBurst)
}

// allowRetry returns false if the budget is used up.
func (b *retryBudget) allowRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
