package metrics

// Names of the metrics of a gateway.
const (
	// GatewayRequests counts requests by kind, team class, outcome and reason. Served
	// requests have the outcome "completed" or "failed" and no reason.
	GatewayRequests = "gateway_requests"
	// GatewayQueueTime is the time in the queue. GatewayFirstEventTime is the time to
	// the first event of a stream. GatewayTotalTime is the time to the final answer.
	// All are by kind.
	GatewayQueueTime      = "gateway_queue_seconds"
	GatewayFirstEventTime = "gateway_first_event_seconds"
	GatewayTotalTime      = "gateway_total_seconds"
	// GatewayExchanges counts exchanges with targets by result.
	GatewayExchanges = "gateway_exchanges"
	// GatewayRetriesDenied counts the failed requests that were not retried, by reason.
	GatewayRetriesDenied = "gateway_retries_denied"
	// GatewayInFlight is the number of requests without a final answer.
	GatewayInFlight = "gateway_in_flight"
	// GatewayQueued, GatewayRunning, GatewayTargets, GatewayTargetsUsable and
	// GatewaySlotsFree describe each pool from the view of this host.
	GatewayQueued        = "gateway_queued"
	GatewayRunning       = "gateway_running"
	GatewayTargets       = "gateway_targets"
	GatewayTargetsUsable = "gateway_targets_usable"
	GatewaySlotsFree     = "gateway_slots_free"
	// GatewayStoreCalls counts calls to the store by kind, table and result.
	GatewayStoreCalls = "gateway_store_calls"
	// GatewayStoreReturns is how often the store returned from an older copy since the start.
	GatewayStoreReturns = "gateway_store_returns"
	// GatewayTableVersion is the version of the configuration in force.
	// GatewayTableOutdated is 1 while another host is known to have a newer configuration.
	// GatewayTableAge and GatewayRosterAge are the time since the store last confirmed
	// the configuration and the target list.
	GatewayTableVersion  = "gateway_table_version"
	GatewayTableOutdated = "gateway_table_outdated"
	GatewayTableAge      = "gateway_table_age_seconds"
	GatewayRosterAge     = "gateway_roster_age_seconds"
	// GatewayPeersActive is the number of other hosts whose state was received
	// recently.
	GatewayPeersActive = "gateway_peers_heard"
	// GatewayTeamsBusy is the number of teams that use much of their quotas.
	GatewayTeamsBusy = "gateway_teams_busy"
	// GatewayRetriesLeft is the number of retries that the retry budget still allows,
	// by pool.
	GatewayRetriesLeft = "gateway_retries_left"
	// GatewayTargetCrashes counts the crashes of targets that this host detected, and
	// GatewayQuarantines the digests that were quarantined because of crashes.
	GatewayTargetCrashes = "gateway_target_crashes"
	GatewayQuarantines   = "gateway_quarantines"
	// GatewayScarce is 1 while teams get shares of a pool because its capacity is scarce, and
	// otherwise 0.
	GatewayScarce = "gateway_scarce"
	// GatewayGrantedShare is the part of the demand for a pool that is granted, from 0 to 1, where
	// requests are admitted by rates.
	GatewayGrantedShare = "gateway_granted_share"

	// GatewayTargetsLimited is the number of targets that state limits, and GatewayLimitRate
	// the requests per second that this host may send them, by pool.
	GatewayTargetsLimited = "gateway_targets_limited"
	GatewayLimitRate      = "gateway_limit_rate"
	// GatewayMachinesKnown is the number of targets of whose machines this host knows the present
	// state, and GatewayMachinesSlow the number of those on which work takes noticeably longer,
	// by pool.
	GatewayMachinesKnown = "gateway_machines_known"
	GatewayMachinesSlow  = "gateway_machines_slow"
	// GatewayPrefixPredicted counts tokens of prompts that targets were predicted to have cached,
	// GatewayPrefixConfirmed and GatewayPrefixRefuted those of them of which the time to the first
	// event showed whether they were, and GatewayPrefixEvicted those that targets are estimated
	// to have evicted. All are gauges by pool that count from the start of the host.
	GatewayPrefixPredicted = "gateway_prefix_tokens_predicted"
	GatewayPrefixConfirmed = "gateway_prefix_tokens_confirmed"
	GatewayPrefixRefuted   = "gateway_prefix_tokens_refuted"
	GatewayPrefixEvicted   = "gateway_prefix_tokens_evicted"
	// GatewayMemoryWaits counts the requests that waited for the memory of targets with free slots. It
	// is a gauge by pool that counts from the start of the host.
	GatewayMemoryWaits = "gateway_memory_waits"
	// GatewayRolloutRequests and GatewayRolloutFailures count the requests that this host sent to
	// the ordered version since it learned of the order, and those that failed.
	// GatewayRolloutShare is the share in force. All are gauges by pool and version.
	GatewayRolloutRequests = "gateway_rollout_requests"
	GatewayRolloutFailures = "gateway_rollout_failures"
	GatewayRolloutShare    = "gateway_rollout_share"
	// GatewayTrials counts the trials of content that may crash targets, by result.
	GatewayTrials = "gateway_trials"
	// GatewayBufferedBytes is the memory for bodies of requests and for responses, without
	// what is free for each, and GatewayBuffersRefused how often there was none left since
	// the start. GatewayBuffersEvicted counts those of them that lost it to more urgent requests.
	// All are by kind.
	GatewayBufferedBytes  = "gateway_buffered_bytes"
	GatewayBuffersRefused = "gateway_buffers_refused"
	GatewayBuffersEvicted = "gateway_buffers_evicted"
	// GatewayLogLinesDropped is the number of log lines that were not written.
	GatewayLogLinesDropped = "gateway_log_lines_dropped"
	// GatewayStatesSent and GatewayStatesReceived are the numbers of datagrams with states since
	// the start. GatewayStatesFrequent is 1 while a divided system exchanges them more often
	// because requests wait. GatewayStatesShortened is the number of messages to hosts of other
	// cells since the start that left out what could wait, because the link is busy with states.
	GatewayStatesSent      = "gateway_states_sent"
	GatewayStatesReceived  = "gateway_states_received"
	GatewayStatesFrequent  = "gateway_states_frequent"
	GatewayStatesShortened = "gateway_states_shortened"
	// GatewaySaturation is the share of the new requests that this host refuses because it can't
	// keep up, from 0 to 1, and GatewayHostDelay the median delay, over eight samples, of a loop or of
	// sending states, in seconds.
	GatewaySaturation = "gateway_saturation"
	GatewayHostDelay  = "gateway_host_delay_seconds"
	// GatewayDistance is by how much responses of a data centre take longer than local ones, in
	// seconds, and GatewayDistanceMeasured 1 if that is known. GatewayStateAge is the mean age of what
	// is known of the load that its hosts put on targets, in seconds. All are by data centre.
	GatewayDistance         = "gateway_distance_seconds"
	GatewayDistanceMeasured = "gateway_distance_measured"
	GatewayStateAge         = "gateway_state_age_seconds"
)

// Tag keys used only by the metrics of a gateway.
const (
	TagKind       = "kind"
	TagClass      = "class"
	TagTable      = "table"
	TagDataCentre = "data_centre"
)
