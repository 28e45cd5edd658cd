package periodic

import (
	"testing"
	"time"
)

// Guards against loops of one process that wake up at different times.
func TestIntervalsAreAligned(t *testing.T) {
	for ms := range 250 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		short, long := UntilNext(now, 50*time.Millisecond), UntilNext(now, 100*time.Millisecond)
		if short <= 0 || short > 50*time.Millisecond || long != short && long != short+50*time.Millisecond {
			t.Errorf("after %d ms the next ones are in %v and %v", ms, short, long)
		}
	}
}
