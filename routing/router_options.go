package routing

// RouterOptions configures a Router.
type RouterOptions struct {
	Prefixes *PrefixIndex
	Filters  []Filter
	Score    Score
}
