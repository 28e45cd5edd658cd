package freshness

import "time"

const (
	// defaultContact is the contact time if it isn't known.
	defaultContact = 3 * time.Second
	// minWait bounds the wait of a host that asks often from below.
	minWait = 500 * time.Millisecond
	// waitShare is the part of the contact time that a host which asks often waits.
	waitShare = 0.4
	// spreadShare is the part of the contact time over which hosts spread the moment at which they
	// ask because no other one has confirmed a table.
	spreadShare = 0.15

	// hostsWait is the wait for the table of hosts, by which no request is admitted or placed.
	hostsWait = 10 * time.Second

	// LongWait is how long a call waits at most while other calls confirm its table; the store allows no
	// more. The waits are up to longWaitSpread shorter, so that calls which begin together after a change
	// don't end together.
	LongWait       = 30 * time.Second
	longWaitSpread = 10 * time.Second
	// ShortWait is how long a call waits whose response is wanted at once.
	ShortWait = 50 * time.Millisecond
	// Grace is how much longer than its wait a call may take.
	Grace = time.Second
)

// intervals are the times that decide on the calls for a table.
type intervals struct {
	// wait is how long a call waits if only calls of this host confirm its table.
	wait time.Duration
	// due is the age at which a table has to be confirmed by a call of this host, but for a random part
	// of spread.
	due    time.Duration
	spread time.Duration
}

// newIntervals returns the intervals for a table and a contact time: a host whose links have worked for
// so long is expected to know of each change. By then it must have noticed that a call waits in vain.
func newIntervals(t Table, contact time.Duration) intervals {
	if contact <= 0 {
		contact = defaultContact
	}
	wait := min(max(share(contact, waitShare), minWait), LongWait)
	if t == Hosts {
		wait = max(wait, hostsWait)
	}
	return intervals{wait: wait, due: wait + Grace, spread: share(contact, spreadShare)}
}

func share(d time.Duration, part float64) time.Duration { return time.Duration(part * float64(d)) }

// CallTimeout returns the caller's own timeout of a call that waits for changes. One that does not wait may take
// as long as any other call.
func CallTimeout(wait, other time.Duration) time.Duration {
	if wait <= ShortWait {
		return wait + other
	}
	return wait + Grace
}
