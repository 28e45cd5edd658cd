package timeline

// Kind is the type of an event.
type Kind string

// Kinds of events.
const (
	Accepted        Kind = "accepted"         // an entry accepted a call
	Queued          Kind = "queued"           // a pool owner queued a request
	Granted         Kind = "granted"          // a pool owner granted a target
	GrantDeclined   Kind = "grant-declined"   // an entry returned a grant unused
	GrantReturned   Kind = "grant-returned"   // the owner received an unused grant back
	EntryReported   Kind = "entry-reported"   // an entry reported all its requests in a pool to the owner
	Claimed         Kind = "claimed"          // an idempotency key was claimed
	Dispatched      Kind = "dispatched"       // the first byte may have been sent to the target
	FirstToken      Kind = "first-token"      // the first token was received
	Resumed         Kind = "resumed"          // an interrupted stream was resumed
	Finished        Kind = "finished"         // the entry determined the request's outcome
	Refused         Kind = "refused"          // the owner refused a request; Detail has the reason
	PreemptOrdered  Kind = "preempt-ordered"  // the owner ordered a preemption
	Forwarded       Kind = "forwarded"        // the request was forwarded to another data centre
	Ended           Kind = "ended"            // the owner was notified that the request ended
	EntryLost       Kind = "entry-lost"       // the owner removed the requests of a lost entry
	OwnershipGained Kind = "owner-gained"     // this host became the owner of a pool
	OwnerReady      Kind = "owner-ready"      // the owner received reports from all live members
	OwnershipLost   Kind = "owner-lost"       // this host stopped owning a pool
	MemberJoined    Kind = "member-joined"    // a member was detected as alive
	MemberLost      Kind = "member-lost"      // a member was declared dead
	PauseDetected   Kind = "pause-seen"       // this process was paused for some time
	SettingsApplied Kind = "settings-applied" // this host applied a settings version
	TargetLeaving   Kind = "target-leaving"   // a target is draining and gets no new requests
	TargetFailed    Kind = "target-failed"    // a target crashed
	StrikeRecorded  Kind = "strike"           // a digest is suspected of crashing a target
	Quarantine      Kind = "quarantine"       // requests with a digest are refused from now on
	TrialEnded      Kind = "trial-ended"      // the only run of a suspect digest ended; Detail has the digest and the result
	DrainBegan      Kind = "drain-began"      // a graceful shutdown began
	DrainEnded      Kind = "drain-ended"      // a graceful shutdown ended
	AnswerRejected  Kind = "answer-rejected"  // an event with a wrong dispatch id was dropped
)
