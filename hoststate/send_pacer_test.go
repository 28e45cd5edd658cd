package hoststate

import (
	"testing"
	"time"
)

// Guards against states that fill the link of a host while many requests wait: 7 near peers that
// get 1,200 bytes each 7 ms would take all of a link of 10 Mbit/s. The bound is a tenth of the link.
func TestStatesTakeATenthOfTheLink(t *testing.T) {
	for _, linkMbps := range []float64{10, 200} {
		p := newSendPacer(linkMbps)
		const round = 7 * (1200 + datagramOverhead)
		interval := max(p.delay(round), 7*time.Millisecond)
		if perSecond := round / interval.Seconds(); perSecond > linkMbps*bytesPerMegabit/10 && interval < heartbeatInterval {
			t.Errorf("link of %v Mbit/s: %.0f bytes a second", linkMbps, perSecond)
		}
	}
}

// Guards against a host that counts as missing because its states are large, and against a limit
// where the link is not known.
func TestPacingKeepsHeartbeats(t *testing.T) {
	if got := newSendPacer(10).delay(10_000_000); got != heartbeatInterval {
		t.Errorf("waits %v after a large state, want %v", got, heartbeatInterval)
	}
	if got := newSendPacer(0).delay(10_000_000); got != 0 {
		t.Errorf("waits %v without a known link", got)
	}
}
