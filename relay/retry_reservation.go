package relay

import "time"

// reserveRetry reports whether the retry budget allows another run, and reserves it.
func (x *execution) reserveRetry() bool {
	if !x.retryReserved {
		x.retryReserved = x.relay.options.RetryBudget.ReserveRetry(time.Now(), x.pool)
	}
	return x.retryReserved
}

// dispatchRetry counts a reserved retry whose run has a slot.
func (x *execution) dispatchRetry() {
	if x.retryReserved {
		x.retryReserved = false
		x.relay.options.RetryBudget.DispatchReserved(time.Now(), x.pool)
	}
}

// releaseRetry gives back a reserved retry that is not needed.
func (x *execution) releaseRetry() {
	if x.retryReserved {
		x.retryReserved = false
		x.relay.options.RetryBudget.ReleaseReserved(time.Now(), x.pool)
	}
}
