package entry

// grantResult is the result of using one grant.
type grantResult struct {
	// retry is true if the request did not run and another grant may be acquired.
	retry bool
	// refusal is nil if the response is complete.
	refusal *refusal
}

func completedResult() grantResult { return grantResult{} }

func failedResult(r *refusal) grantResult { return grantResult{refusal: r} }

func retryResult() grantResult { return grantResult{retry: true} }
