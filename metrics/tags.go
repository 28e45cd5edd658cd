package metrics

// Tag keys of metrics.
const (
	TagTier    = "tier"
	TagPool    = "pool"
	TagTarget  = "target"
	TagVersion = "version"
	TagReason  = "reason"
	TagOutcome = "outcome"
	TagResult  = "result"
	TagState   = "state"
)

// Values of TagResult in EntryClaims.
const (
	ClaimMade     = "claimed"
	ClaimReplayed = "replayed"
)
