package eventlog

// Names of fields in log lines.
const (
	FieldHost  = "host"
	FieldEvent = "event"
	// FieldAt is the time of a decision. It differs from the time of the line, because
	// the lines about a request are written when the request has ended.
	FieldAt = "at"
	// FieldRequest is the caller's ID of the attempt.
	FieldRequest = "request"
	FieldRoute   = "route"
	FieldPool    = "pool"
	FieldTeam    = "team"
	FieldTarget  = "target"
	// FieldDataCentre is the data centre of the host that wrote the line, or the one that the line is
	// about. FieldHostClass is the memory of the host and the bandwidth of its link.
	FieldDataCentre = "data_centre"
	FieldHostClass  = "host_class"
	// FieldVersion is the version of a target's software.
	FieldVersion = "version"
	// FieldDigest identifies the content of a request. All attempts with the same content
	// have the same digest.
	FieldDigest = "digest"
	// FieldParts holds the digests of the parts of a prompt that other requests may have too.
	FieldParts = "parts"
	// FieldDigests holds the digests that ran on a target, FieldProcess when its process
	// started, in Unix milliseconds.
	FieldDigests = "digests"
	FieldProcess = "process"
	// FieldLimit is the requests per second that a target takes from all hosts together,
	// FieldLimitBefore what it stated before.
	FieldLimit       = "limit"
	FieldLimitBefore = "limit_before"
	// FieldPercent is the time that work takes on a machine, in percent of the usual time.
	FieldPercent = "percent"
	// FieldTokens is the number of tokens that a target was predicted to have cached, FieldTrust the
	// part of such predictions that counts, and FieldWrong the number of wrong ones since the line
	// before.
	FieldTokens = "tokens"
	FieldTrust  = "trust"
	FieldWrong  = "wrong"
	// FieldLeft is the largest room in the memory of a target, in tokens, and FieldWaits the number
	// of requests that waited for memory since the line before.
	FieldLeft  = "left"
	FieldWaits = "waits"
	// FieldRate is the part of a limit that this host uses. It depends on FieldConnectedHosts, the
	// hosts that receive each other's states, of FieldHosts.
	FieldRate           = "rate"
	FieldConnectedHosts = "heard_hosts"
	FieldHosts          = "hosts"
	// FieldCrashes is the number of crashes in which a digest is implicated.
	FieldCrashes = "crashes"
	// FieldStrikes is the number of crashes held against a digest, FieldAgeMs the age of
	// the last one.
	FieldStrikes = "strikes"
	FieldAgeMs   = "age_ms"
	// FieldTrial is how many trials of a digest there were since it was last cleared, or zero
	// if the store did not say.
	FieldTrial = "trial"
	FieldPeer  = "peer"
	// FieldTableVersion is the version of the configuration in force.
	FieldTableVersion = "table"
	// FieldTableAgeMs is the time since that configuration was known to be the newest one, and
	// FieldTableOutdated says that another host has a newer one.
	FieldTableAgeMs    = "table_age_ms"
	FieldTableOutdated = "table_outdated"
	// FieldResult is the result of an exchange with a target.
	FieldResult = "result"
	// FieldOutcome and FieldReason are the outcome and the reason reported to the
	// caller.
	FieldOutcome = "outcome"
	FieldReason  = "reason"
	FieldCause   = "cause"
	// FieldLocal says that requests of this host show that capacity is scarce.
	FieldLocal = "local"

	FieldPromptTokens = "prompt_tokens"
	FieldOutputTokens = "output_tokens"
	FieldDeadlineMs   = "deadline_ms"
	FieldRetryAfterMs = "retry_after_ms"
	FieldReserved     = "reserved"
	FieldQuotaCost    = "quota_cost"
	FieldQuotaUsed    = "quota_used"
	FieldQuotaLimit   = "quota_limit"

	// The following fields are the inputs of a scheduling decision.

	FieldUsableTargets = "usable_targets"
	// FieldLimitedTargets is the number of targets that state limits.
	FieldLimitedTargets = "limited_targets"
	FieldFreeSlots      = "free_slots"
	FieldQueued         = "queued"
	FieldAhead          = "ahead"
	FieldPeers          = "peers"
	// FieldPeerStateAgeMs is the age of the oldest peer state that was used.
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
	// FieldLate says whether a served request was later than the objective of its route.
	FieldLate = "late"
	// FieldRetry is true if the caller states that the request is a retry.
	FieldRetry = "retry"
	// FieldRepresents is the number of requests that the lines of one request stand for.
	FieldRepresents = "represents"
	FieldUntilMs    = "until_ms"
	FieldDropped    = "dropped"
	// FieldRequests is the number of requests whose lines were dropped.
	FieldRequests = "requests"

	// FieldOrder is the row version of the order of a rollout. FieldPhase, FieldStep and
	// FieldShareMilli say how far the rollout has come, FieldRouteHash identifies a route in
	// its evidence.
	FieldOrder      = "order"
	FieldPhase      = "phase"
	FieldStep       = "step"
	FieldShareMilli = "share_milli"
	FieldRouteHash  = "route_hash"

	// FieldKind is the kind of buffers, FieldRefused how often they found no memory, FieldEvicted how
	// often they lost it to more urgent requests, and FieldBytes the memory that they use.
	FieldKind    = "kind"
	FieldRefused = "refused"
	FieldEvicted = "evicted"
	FieldBytes   = "bytes"
)

// Names of events.
const (
	EventAccepted      = "request-accepted"
	EventQuotaExceeded = "request-over-quota"
	// EventQuarantineRefused is about one request, EventQuarantined and EventReleased are
	// about a digest.
	EventQuarantineRefused = "request-quarantined"
	EventQuarantined       = "digest-quarantined"
	EventReleased          = "digest-released"
	EventTargetCrashed     = "target-crashed"
	// EventTargetLimited and EventTargetUnlimited are about a target that states a limit, or
	// none any longer.
	EventTargetLimited   = "target-limited"
	EventTargetUnlimited = "target-unlimited"
	// EventMachineState says that a target has begun to state how long work takes on its machine.
	EventMachineState = "machine-state"
	// EventPrefixMissed says that a target did not have cached what was predicted.
	EventPrefixMissed = "prefix-missed"
	// EventMemoryScarce says that requests wait for the memory of targets with free slots.
	EventMemoryScarce = "memory-scarce"
	// EventLimitRate says that this host has got a part of a target's limit, or lost it.
	EventLimitRate = "limit-rate"
	// EventCapacityScarce and EventCapacitySufficient are about a pool whose capacity is shared
	// among teams, or no longer.
	EventCapacityScarce     = "capacity-scarce"
	EventCapacitySufficient = "capacity-sufficient"
	// EventTargetLost is about a target that ended at the same time as that of a trial.
	EventTargetLost = "target-lost"
	// EventTargetProbed is about a target that broke off a request, EventSuspected and
	// EventCleared are about a digest that ran on crashed targets.
	EventTargetProbed = "target-probed"
	EventSuspected    = "digest-suspected"
	EventCleared      = "digest-cleared"
	// EventTrialBegun and EventTrialDenied are about a request, EventTrialEnded is about a
	// digest.
	EventTrialBegun  = "trial-begun"
	EventTrialDenied = "trial-denied"
	EventTrialEnded  = "trial-ended"

	EventPlaced       = "request-placed"
	EventShed         = "request-shed"
	EventAttemptEnded = "attempt-ended"
	EventRetried      = "request-repeated"
	EventResumed      = "stream-resumed"
	EventRetryDenied  = "retry-denied"
	EventHedged       = "request-hedged"
	EventHedgeDenied  = "hedge-denied"
	EventPassedOn     = "request-passed-on"
	// EventCutOff and EventReached are about a pool of which this host reaches no target, or
	// one again.
	EventCutOff           = "pool-cut-off"
	EventReached          = "pool-reached"
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
	EventStoreReturned    = "store-rolled-back"
	EventStoreReachable   = "store-back"
	EventBuffersFull      = "buffers-full"
	// EventRolloutInvalid is about an order that can't be followed. EventRolloutOrdered,
	// EventRolloutStep, EventRolloutJudged and EventRolloutEnded are about a rollout.
	EventRolloutInvalid = "rollout-invalid"
	EventRolloutOrdered = "rollout-ordered"
	EventRolloutStep    = "rollout-step"
	EventRolloutJudged  = "rollout-judged"
	EventRolloutEnded   = "rollout-ended"
	// EventRolloutDecider is about the part of a host in the decisions on a rollout.
	EventRolloutDecider = "rollout-decider"
	// EventStatesLimited: states for hosts of other cells begin to wait for the link, or end it.
	EventStatesLimited = "states-limited"
	// EventDistance: the distance to a data centre is measured, or no longer.
	EventDistance = "distance-measured"
	// EventHostSaturated: a host can't keep up and begins to refuse new requests. EventHostRelieved: it
	// no longer refuses any for that.
	EventHostSaturated = "host-saturated"
	EventHostRelieved  = "host-relieved"
)
