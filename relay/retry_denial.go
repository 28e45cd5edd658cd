package relay

// RetryDenial is why a request whose exchange failed is not sent to another target.
type RetryDenial string

// Reasons not to retry. The empty RetryDenial means that the request is retried.
const (
	retryAllowed RetryDenial = ""
	// DeniedCallerGone: the caller takes no more of the response.
	DeniedCallerGone RetryDenial = "caller-gone"
	// DeniedMayHaveRun: the request may have run, and the route does not let it run again.
	DeniedMayHaveRun RetryDenial = "may-have-run"
	// DeniedAttempts: the request was sent as often as the route allows.
	DeniedAttempts RetryDenial = "attempts"
	// DeniedUnreachable: too many targets could not be reached, and the response would be late.
	DeniedUnreachable RetryDenial = "unreachable-targets"
	// DeniedBudget: the retry budget is exhausted.
	DeniedBudget RetryDenial = "retry-budget"
	// DeniedSuspect: the content may crash targets, so it runs on one target at a time.
	DeniedSuspect RetryDenial = "suspect"
	// DeniedNoSlot: no other target has a free slot in time.
	DeniedNoSlot RetryDenial = "no-slot"
)
