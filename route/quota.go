package route

// Quota bounds what a team may use over all hosts.
type Quota struct {
	// PerSecond is the sustained rate; zero means no limit.
	PerSecond float64
	// Burst is what may be used at once beyond the rate.
	Burst float64
	// CountsTokens says that the quota counts tokens rather than requests.
	CountsTokens bool
	// DefaultTokens is what a request counts that does not tell its tokens.
	DefaultTokens int
}

// Limited says whether there is a limit at all.
func (q Quota) Limited() bool { return q.PerSecond > 0 || q.Burst > 0 }

// Cost returns what a request of so many tokens counts; 0 means that it does not
// tell.
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
