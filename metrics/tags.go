package metrics

// Tag keys.
const (
	TagTier      = "tier"
	TagTeam      = "team"
	TagPool      = "pool"
	TagTarget    = "target"
	TagReason    = "reason"
	TagResult    = "result"
	TagOperation = "operation"
	TagState     = "state"
)
