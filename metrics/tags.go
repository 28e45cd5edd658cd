package metrics

// Tag keys.
const (
	TagTier    = "tier"
	TagPool    = "pool"
	TagTarget  = "target"
	TagReason  = "reason"
	TagOutcome = "outcome"
	TagResult  = "result"
	TagState   = "state"
)

// Results of claims.
const (
	ClaimMade     = "claimed"
	ClaimReplayed = "replayed"
)
