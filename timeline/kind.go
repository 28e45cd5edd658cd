package timeline

// Kind names what happened.
type Kind string

// Kinds of events.
const (
	Accepted        Kind = "accepted"         // an entry accepted a call
	Queued          Kind = "queued"           // a pool owner queued a request
	Granted         Kind = "granted"          // a pool owner granted a target
	GrantDeclined   Kind = "grant-declined"   // an entry gave a grant back unused
	GrantReturned   Kind = "grant-returned"   // the owner got a grant back unused
	EntryReported   Kind = "entry-reported"   // an entry told the owner all that it has there
	Claimed         Kind = "claimed"          // an idempotency key was claimed
	Dispatched      Kind = "dispatched"       // the first byte may have left
	FirstToken      Kind = "first-token"      // the first token arrived
	Resumed         Kind = "resumed"          // a cut stream was resumed
	Finished        Kind = "finished"         // the request reached its outcome at the entry
	Refused         Kind = "refused"          // the owner refused a request; Detail has the reason
	PreemptOrdered  Kind = "preempt-ordered"  // the owner ordered a preemption
	Forwarded       Kind = "forwarded"        // the request went to another data centre
	Ended           Kind = "ended"            // the owner learned of the end
	EntryLost       Kind = "entry-lost"       // the owner gave up an entry's requests
	OwnershipGained Kind = "owner-gained"     // this host began to own a pool
	OwnerReady      Kind = "owner-ready"      // the owner heard from all live members
	OwnershipLost   Kind = "owner-lost"       // this host stopped owning a pool
	MemberJoined    Kind = "member-joined"    // a member was seen alive
	MemberLost      Kind = "member-lost"      // a member was declared dead
	PauseDetected   Kind = "pause-seen"       // this process was not running for a while
	SettingsApplied Kind = "settings-applied" // a settings version came into force here
	TargetLeaving   Kind = "target-leaving"   // a target is out of the choice
	TargetFailed    Kind = "target-failed"    // a target died
	StrikeRecorded  Kind = "strike"           // a digest is suspected of crashing a target
	Quarantine      Kind = "quarantine"       // a digest is refused from now on
	DrainBegan      Kind = "drain-began"      // a planned stop began
	DrainEnded      Kind = "drain-ended"      // a planned stop ended
	AnswerRejected  Kind = "answer-rejected"  // a frame with a wrong dispatch id was dropped
)
