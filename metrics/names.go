package metrics

// Names of metrics. All are prefixed with "cornelyard_".
const (
	// EntryRequestsFinished counts the requests whose outcome was determined at this
	// entry, by tier, pool, outcome and reason. EntryRequestTime is their duration.
	EntryRequestsFinished = "entry_requests_finished"
	EntryRequestTime      = "entry_request_seconds"
	// EntryFirstTokenTime is the time from acceptance to the first token, by tier and
	// pool.
	EntryFirstTokenTime = "entry_first_token_seconds"
	// EntryRequestsRefused counts the requests that were refused before their tier was
	// determined, by reason.
	EntryRequestsRefused = "entry_requests_refused"
	// EntryClaims counts requests with an idempotency key, by result: ClaimMade,
	// ClaimReplayed or the reason of a refusal.
	EntryClaims = "entry_claims"
	// EntryRequestsInFlight is the number of requests in flight at this entry.
	EntryRequestsInFlight = "entry_requests_held"

	// RequestsCompleted counts the complete answers that met their deadline (the
	// goodput), by tier and pool. RequestsLate counts those that missed it.
	RequestsCompleted = "requests_completed"
	RequestsLate      = "requests_late"
	// RequestsShed counts the requests refused for lack of capacity, by tier and pool.
	RequestsShed = "requests_shed"
	// PrefillTokens counts the prompt tokens of started requests, by tier and pool.
	// WastedPrefillTokens counts those that were computed for answers that were not
	// completed.
	PrefillTokens       = "prefill_tokens"
	WastedPrefillTokens = "wasted_prefill_tokens"

	// QueueLength is the number of requests in the queue of an owned pool, by tier.
	QueueLength = "queue_length"
	// QueueAge is the time from arrival to grant, by pool and tier.
	QueueAge = "queue_age_seconds"
	// Slots is the number of usable slots of an owned pool, by target. SlotsTaken is
	// the number of those in use.
	Slots      = "slots"
	SlotsTaken = "slots_taken"
	// Grants counts grants, by pool.
	Grants = "grants"
	// GrantsDeclined counts the grants that were returned unused, by pool and reason.
	GrantsDeclined = "grants_declined"
	// Preemptions counts the preemptions that were ordered, by pool and tier.
	Preemptions = "preemptions"
	// PoolsOwned is the number of pools that this host owns.
	PoolsOwned = "pools_owned"

	// SettingsVersion is the version of the settings in force on this host.
	SettingsVersion = "settings_version"
	// SettingsAge is the time since the platform was last read.
	SettingsAge = "settings_age_seconds"

	// PeerSessions is the number of open sessions.
	PeerSessions = "peer_sessions"
	// PeerFramesSent and PeerFramesReceived count frames.
	PeerFramesSent     = "peer_frames_sent"
	PeerFramesReceived = "peer_frames_received"
	// PeerBytesSent counts the bytes of frames sent.
	PeerBytesSent = "peer_bytes_sent"
	// PeerWireBytesSent counts the bytes written to the network, including TLS
	// overhead. PeerWireWrites counts the writes.
	PeerWireBytesSent = "peer_wire_bytes_sent"
	PeerWireWrites    = "peer_wire_writes"
	// PeerBacklogs counts sessions closed because of a full send queue, and frames to
	// this host itself that a full queue rejected.
	PeerBacklogs = "peer_backlogs"
	// PeerFramesMissing counts sessions closed because a frame did not arrive.
	PeerFramesMissing = "peer_frames_missing"
	// PeerHandshakesFailed counts connections that did not become a session, by
	// reason: "dialled" or "accepted".
	PeerHandshakesFailed = "peer_handshakes_failed"
	// Members is the number of known members, by state.
	Members = "members"
	// MembershipInputsDropped counts membership inputs that were dropped because of a
	// full queue.
	MembershipInputsDropped = "membership_inputs_dropped"
	// ProcessPauses counts the pauses in which this process did not run.
	ProcessPauses = "pauses"

	// TimelineEvents counts recorded events.
	TimelineEvents = "timeline_events"
	// TimelineDrops counts overwritten events.
	TimelineDrops = "timeline_drops"
)
