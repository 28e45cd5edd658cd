package metrics

// Names of metrics. All are prefixed with "cornelyard_".
const (
	// EntryRequestsFinished counts the requests that reached their outcome at this
	// entry, by tier, pool, outcome and reason; EntryRequestTime is how long they
	// took.
	EntryRequestsFinished = "entry_requests_finished"
	EntryRequestTime      = "entry_request_seconds"
	// EntryFirstTokenTime is the time from acceptance to the first token, by tier
	// and pool.
	EntryFirstTokenTime = "entry_first_token_seconds"
	// EntryRequestsRefused counts the requests that were refused before their tier
	// was known, by reason.
	EntryRequestsRefused = "entry_requests_refused"
	// EntryClaims counts what became of idempotency keys, by result: ClaimMade,
	// ClaimReplayed or the reason of a refusal.
	EntryClaims = "entry_claims"
	// EntryRequestsInFlight is how many requests this entry holds.
	EntryRequestsInFlight = "entry_requests_held"

	// RequestsCompleted counts whole answers in time, by tier and pool: the
	// goodput. RequestsLate counts those after their deadline.
	RequestsCompleted = "requests_completed"
	RequestsLate      = "requests_late"
	// RequestsShed counts the requests refused for want of capacity, by tier and
	// pool.
	RequestsShed = "requests_shed"
	// PrefillTokens counts the prompt tokens of requests that started, by tier and
	// pool, WastedPrefillTokens those computed for answers that were not completed.
	PrefillTokens       = "prefill_tokens"
	WastedPrefillTokens = "wasted_prefill_tokens"

	// QueueLength is how many requests an owned pool has queued, by tier.
	QueueLength = "queue_length"
	// QueueAge is the time from arrival to grant, by pool and tier.
	QueueAge = "queue_age_seconds"
	// Slots is the usable slots of an owned pool, and SlotsTaken those in use, by
	// target.
	Slots      = "slots"
	SlotsTaken = "slots_taken"
	// Grants counts grants, by pool.
	Grants = "grants"
	// GrantsDeclined counts grants given back unused, by pool and reason.
	GrantsDeclined = "grants_declined"
	// Preemptions counts preemptions ordered, by pool and tier.
	Preemptions = "preemptions"
	// PoolsOwned is how many pools this host owns.
	PoolsOwned = "pools_owned"

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
	// ProcessPauses counts the times this process was not running for a while.
	ProcessPauses = "pauses"

	// TimelineEvents counts recorded events.
	TimelineEvents = "timeline_events"
	// TimelineDrops counts overwritten events.
	TimelineDrops = "timeline_drops"
)
