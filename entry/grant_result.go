package entry

// grantResult is what came of one grant.
type grantResult struct {
	// retry says that the request did not run and may be granted retry.
	retry bool
	// refusal is nil if the answer was whole.
	refusal *refusal
}

func completedResult() grantResult { return grantResult{} }

func failedResult(r *refusal) grantResult { return grantResult{refusal: r} }

func retryResult() grantResult { return grantResult{retry: true} }
