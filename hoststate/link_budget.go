package hoststate

import "time"

const (
	// allStatesShare is the share of a host's link that all states together may take.
	allStatesShare = 0.2
	// budgetBurst is the time whose share of the link may be used at once.
	budgetBurst = 100 * time.Millisecond
	// maxDeferredInterval is the longest time between two messages to a far peer, or two aggregates,
	// while they wait for the link. The former build counts a host as missing after 250 ms.
	maxDeferredInterval = 200 * time.Millisecond
)

// linkBudget is what states may still take of a host's link. States for the near peers are always
// sent; those for others, which are older anyway, wait while nothing is left. Its zero value sets no
// limit.
type linkBudget struct {
	bytesPerSecond float64
	left           float64
	at             time.Time
}

// newLinkBudget returns the budget of a host with a link of linkMbps megabits per second; zero means
// that it isn't known.
func newLinkBudget(linkMbps float64) linkBudget {
	return linkBudget{bytesPerSecond: allStatesShare * linkMbps * bytesPerMegabit}
}

// spend records bytes that are sent.
func (b *linkBudget) spend(now time.Time, bytes int64) {
	b.advance(now)
	b.left -= float64(bytes)
}

// covers reports whether a number of bytes that could wait may be sent.
func (b *linkBudget) covers(now time.Time, bytes int64) bool {
	b.advance(now)
	return b.bytesPerSecond == 0 || b.left >= float64(bytes)
}

func (b *linkBudget) advance(now time.Time) {
	earned := now.Sub(b.at).Seconds() * b.bytesPerSecond
	b.left = min(b.left+earned, budgetBurst.Seconds()*b.bytesPerSecond)
	b.at = now
}
