package metrics

// Names of metrics. All are prefixed with "cornelyard_".
const (
	// RequestsCompleted counts whole answers in time, by tier: the goodput.
	RequestsCompleted = "requests_completed"
	// RequestsLate counts whole answers after their deadline, by tier.
	RequestsLate = "requests_late"
	// RequestsRefused counts requests that did not run, by tier and reason.
	RequestsRefused = "requests_refused"
	// RequestsInterrupted counts requests stopped after their dispatch, by tier
	// and reason.
	RequestsInterrupted = "requests_interrupted"
	// RequestsActive is how many requests this entry holds.
	RequestsActive = "requests_active"
	// FirstToken is the time from acceptance to the first token.
	FirstToken = "first_token_seconds"
	// TokenGap is the time between tokens.
	TokenGap = "token_gap_seconds"
	// TokensStreamed counts tokens sent to callers.
	TokensStreamed = "tokens_streamed"
	// PrefillTokens counts prompt tokens computed, by pool.
	PrefillTokens = "prefill_tokens"
	// WastedPrefillTokens counts prompt tokens computed for answers that were
	// not completed, by pool.
	WastedPrefillTokens = "wasted_prefill_tokens"

	// QueueLength is how many requests an owned pool has queued, by tier.
	QueueLength = "queue_length"
	// QueueAge is the time from enqueue to grant.
	QueueAge = "queue_age_seconds"
	// Slots is the usable slots of an owned pool, by target.
	Slots = "slots"
	// SlotsTaken is the slots in use, by target.
	SlotsTaken = "slots_taken"
	// Grants counts grants, by pool.
	Grants = "grants"
	// GrantsDeclined counts grants given back unused, by pool and reason.
	GrantsDeclined = "grants_declined"
	// Preemptions counts preemptions ordered, by pool and tier.
	Preemptions = "preemptions"
	// PoolsOwned is how many pools this host owns.
	PoolsOwned = "pools_owned"

	// Claims counts claims of idempotency keys, by result.
	Claims = "claims"
	// PlatformCalls counts calls to the platform's services, by operation and
	// result.
	PlatformCalls = "platform_calls"
	// PlatformLatency is the duration of calls to the platform, by operation.
	PlatformLatency = "platform_seconds"

	// SettingsVersion is the version in force on this host.
	SettingsVersion = "settings_version"
	// SettingsAge is how long ago the platform was last read.
	SettingsAge = "settings_age_seconds"

	// PeerSessions is how many sessions are open.
	PeerSessions = "peer_sessions"
	// PeerFramesSent and PeerFramesReceived count frames.
	PeerFramesSent     = "peer_frames_sent"
	PeerFramesReceived = "peer_frames_received"
	// PeerBytesSent counts the bytes of frames.
	PeerBytesSent = "peer_bytes_sent"
	// PeerWireBytesSent counts the bytes given to the network, with all of TLS,
	// and PeerWireWrites the writes.
	PeerWireBytesSent = "peer_wire_bytes_sent"
	PeerWireWrites    = "peer_wire_writes"
	// PeerBacklogs counts sessions closed for a full queue.
	PeerBacklogs = "peer_backlogs"
	// PeerHandshakesFailed counts connections that never became a session, by
	// reason.
	PeerHandshakesFailed = "peer_handshakes_failed"
	// Members is how many members are known, by state.
	Members = "members"
	// MembershipInputsDropped counts inputs lost to a full queue.
	MembershipInputsDropped = "membership_inputs_dropped"
	// Pauses counts the times this process was not running for a while.
	Pauses = "pauses"

	// TimelineEvents counts recorded events.
	TimelineEvents = "timeline_events"
	// TimelineDrops counts overwritten events.
	TimelineDrops = "timeline_drops"
)
