package trial

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

const (
	// maxRuns is the largest number of trials of a content before one of them is served.
	maxRuns = 3
	// appealDelay is how long after a trial that crashed its target the next one may begin.
	appealDelay = 10 * time.Minute
	// restartDelay is how long after the last trial that is allowed trials may begin anew
	// if none of them crashed its target.
	restartDelay = 30 * time.Second
	// inProgressRetryAfter is the longest retry delay while another trial is in flight.
	inProgressRetryAfter = time.Second
)

// content is what this host knows of the trials of one content.
type content struct {
	// inFlight says that this host has a trial in flight, or is about to begin one.
	inFlight bool
	// row is the last known row, or nil. seenAt is when this host first saw it: durations
	// count from then, because the hosts' clocks differ.
	row      *record
	revision uint64
	seenAt   time.Time
	// readAt is when the row was last read, or written, by this host.
	readAt time.Time
}

// see stores what was read of the row; nil means that there is none.
func (c *content) see(now time.Time, row *record, revision uint64) {
	if row == nil || c.row == nil || c.revision != revision {
		c.seenAt = now
	}
	c.row, c.revision, c.readAt = row, revision, now
}

// denial returns why no trial may begin as far as this host knows, or nil.
func (c *content) denial(now time.Time) *Denial {
	if c.inFlight {
		return &Denial{Cause: InProgress, RetryAfter: inProgressRetryAfter}
	}
	return c.rowDenial(now)
}

// rowDenial returns why no trial may begin according to the row, or nil.
func (c *content) rowDenial(now time.Time) *Denial {
	if c.row == nil {
		return nil
	}
	age := now.Sub(c.seenAt)
	if left := c.row.lease() - age; !c.row.Ended && left > 0 {
		return &Denial{Cause: InProgress, RetryAfter: min(left, inProgressRetryAfter)}
	}
	if !c.row.Crashed && c.row.Runs < maxRuns {
		return nil
	}
	delay := restartDelay
	if c.row.Crashed {
		delay = appealDelay
	}
	if left := delay - age; left > 0 {
		return &Denial{Cause: Exhausted, RetryAfter: left}
	}
	if c.row.Crashed && c.row.Runs >= maxRuns {
		return &Denial{Cause: Exhausted, RetryAfter: appealDelay}
	}
	return nil
}

// next returns the row of the next trial. Trials that never crashed a target are forgotten
// once no more of them were allowed for restartDelay.
func (c *content) next(host ident.Host, token string, lease time.Duration) record {
	r := record{Host: host, Token: token, Runs: 1, LeaseMs: lease.Milliseconds()}
	if c.row == nil {
		return r
	}
	r.Crashed = c.row.Crashed
	if r.Crashed || c.row.Runs < maxRuns {
		r.Runs = c.row.Runs + 1
	}
	return r
}
