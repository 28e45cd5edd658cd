package route

// Quota limits the usage of a team over all hosts.
type Quota struct {
	// PerSecond is the sustained rate. There is no limit if it and Burst are zero.
	PerSecond float64
	// Burst may be used at once in addition to the rate.
	Burst float64
	// CountsTokens is set if the quota counts tokens rather than requests.
	CountsTokens bool
	// DefaultTokens is the cost of a request whose number of tokens is unknown.
	DefaultTokens int
}

// Limited reports whether the quota sets any limit.
func (q Quota) Limited() bool { return q.PerSecond > 0 || q.Burst > 0 }

// Cost returns what a request with this number of tokens is charged; 0 tokens means
// that the number is unknown.
func (q Quota) Cost(tokens int) float64 {
	switch {
	case !q.CountsTokens:
		return 1
	case tokens > 0:
		return float64(tokens)
	default:
		return float64(q.DefaultTokens)
	}
}
