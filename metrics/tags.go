package metrics

// Tag keys.
const (
	TagTier    = "tier"
	TagPool    = "pool"
	TagTarget  = "target"
	TagReason  = "reason"
	TagOutcome = "outcome"
	TagState   = "state"
)
