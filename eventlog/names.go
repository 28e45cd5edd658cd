package eventlog

// Fields that several events have.
const (
	FieldHost  = "host"
	FieldEvent = "event"
	// FieldAt is when a decision was made; the lines about a request are written
	// at its end.
	FieldAt = "at"
	// FieldRequest is the caller's name for its try.
	FieldRequest = "request"
	FieldRoute   = "route"
	FieldPool    = "pool"
	FieldTeam    = "team"
	FieldTarget  = "target"
	FieldPeer    = "peer"
	// FieldTableVersion is the version of the configuration that decided.
	FieldTableVersion = "table"
	// FieldResult is how an exchange with a target ended.
	FieldResult = "result"
	// FieldOutcome and FieldReason are what a caller is told.
	FieldOutcome = "outcome"
	FieldReason  = "reason"
	FieldCause   = "cause"

	FieldPromptTokens = "prompt_tokens"
	FieldOutputTokens = "output_tokens"
	FieldDeadlineMs   = "deadline_ms"
	FieldRetryAfterMs = "retry_after_ms"
	FieldQuotaCost    = "quota_cost"
	FieldQuotaUsed    = "quota_used"
	FieldQuotaLimit   = "quota_limit"

	// The following are what a decision of the scheduler rested on.

	FieldUsableTargets = "usable_targets"
	FieldFreeSlots     = "free_slots"
	FieldQueued        = "queued"
	FieldAhead         = "ahead"
	FieldPeers         = "peers"
	// FieldPeerStateAgeMs is the age of the oldest news of another host that counted.
	FieldPeerStateAgeMs = "news_age_ms"
	FieldWaitMs         = "wait_ms"

	FieldDispatches   = "dispatches"
	FieldQueuedMs     = "queued_ms"
	FieldFirstEventMs = "first_ms"
	FieldDurationMs   = "took_ms"
	FieldTotalMs      = "total_ms"
	FieldStatus       = "status"
	FieldEvents       = "events"
	FieldTruncated    = "broken_off"
	FieldUntilMs      = "until_ms"
	FieldDropped      = "dropped"
)

// Events about one request.
const (
	EventAccepted         = "request-accepted"
	EventQuotaExceeded    = "request-over-quota"
	EventPlaced           = "request-placed"
	EventShed             = "request-shed"
	EventAttemptEnded     = "attempt-ended"
	EventRetried          = "request-repeated"
	EventResumed          = "stream-resumed"
	EventEnded            = "request-ended"
	EventLinesDropped     = "lines-dropped"
	EventStarted          = "host-started"
	EventStopping         = "host-stopping"
	EventStopped          = "host-stopped"
	EventSettingsReloaded = "settings-reloaded"
	EventTableApplied     = "table-in-force"
	EventTargetChanged    = "target-changed"
	EventTargetEjected    = "target-rests"
	EventTargetRestored   = "target-back"
	EventPeerDetected     = "peer-heard"
	EventPeerTimedOut     = "peer-silent"
	EventStoreUnreachable = "store-lost"
	EventStoreReachable   = "store-back"
)
