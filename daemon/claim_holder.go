package daemon

import (
	"time"

	"github.com/cornelyard/cornelyard/claim"
	"github.com/cornelyard/cornelyard/membership"
)

// mayBeRunning reports whether the holder of a claim may still be running. Hosts that have
// just started learn of each other within joinTimeout; until then, a holder that is not known
// counts as running.
func mayBeRunning(now time.Time, view *membership.View, h claim.Holder) bool {
	member, known := view.Member(h.Host)
	if !known || member.Incarnation < h.Incarnation {
		return now.Sub(h.ClaimedAt) < joinTimeout
	}
	return member.State != membership.Dead && member.Incarnation == h.Incarnation
}
