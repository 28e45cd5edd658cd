package entry

// Headers that callers send.
const (
	headerTier           = "X-Cornelyard-Tier"
	headerDeadline       = "X-Cornelyard-Deadline-Ms"
	headerNonIdempotent  = "X-Cornelyard-Non-Idempotent"
	headerIdempotencyKey = "Idempotency-Key"
)

// Headers that callers receive.
const (
	headerOutcome      = "X-Cornelyard-Outcome"
	headerReason       = "X-Cornelyard-Reason"
	headerRequestID      = "X-Cornelyard-Request-Id"
	headerReplayed     = "X-Cornelyard-Replayed"
	headerRetryAfter   = "Retry-After"
	headerRetryAfterMs = "Retry-After-Ms"
	// headerShouldRetry is read by well-known client libraries of the API.
	headerShouldRetry = "X-Should-Retry"
)

const (
	contentTypeJSON   = "application/json"
	contentTypeStream = "text/event-stream"
)
