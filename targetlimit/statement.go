package targetlimit

// Kind is the kind of a Statement.
type Kind int

const (
	// Silent: the response says nothing that counts, for instance because the target did not
	// sign it or because the value is no number.
	Silent Kind = iota
	// Unlimited: the target states no limit, or no longer.
	Unlimited
	// Limited: the target states a limit.
	Limited
)

// Statement is what one response says about the limit of its target.
type Statement struct {
	Kind Kind
	// PerSecond is the requests per second that the target takes from all hosts together. It
	// is zero unless Kind is Limited.
	PerSecond float64
}
