package entry

// Request headers.
const (
	headerTier           = "X-Cornelyard-Tier"
	headerDeadline       = "X-Cornelyard-Deadline-Ms"
	headerNonIdempotent  = "X-Cornelyard-Non-Idempotent"
	headerIdempotencyKey = "Idempotency-Key"
)

// Response headers.
const (
	headerOutcome      = "X-Cornelyard-Outcome"
	headerReason       = "X-Cornelyard-Reason"
	headerRequestID    = "X-Cornelyard-Request-Id"
	headerReplayed     = "X-Cornelyard-Replayed"
	headerRetryAfter   = "Retry-After"
	headerRetryAfterMs = "Retry-After-Ms"
	// headerShouldRetry is honoured by common client libraries of the OpenAI API.
	headerShouldRetry = "X-Should-Retry"
)

const (
	contentTypeJSON   = "application/json"
	contentTypeStream = "text/event-stream"
)
