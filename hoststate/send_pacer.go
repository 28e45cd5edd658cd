package hoststate

import "time"

const (
	// linkShare is the share of a host's link that states for the other hosts of its cell may take.
	// The link also carries requests, responses and their cancellation, which wait behind
	// datagrams while it is full. States for far peers have an interval of their own.
	linkShare = 0.1
	// datagramOverhead is what the headers of one datagram add on the link, in bytes.
	datagramOverhead = 42
	bytesPerMegabit  = 1e6 / 8
)

// sendPacer limits the bytes per second of states that a host sends to its cell. Its zero value sets no
// limit.
type sendPacer struct {
	bytesPerSecond float64
}

// newSendPacer returns a pacer for a host with a link of linkMbps megabits per second; zero means
// that it isn't known.
func newSendPacer(linkMbps float64) sendPacer {
	return sendPacer{bytesPerSecond: linkShare * linkMbps * bytesPerMegabit}
}

// delay returns how long to wait after sending a number of bytes, but at most until the next
// heartbeat, so that other hosts do not count this one as missing.
func (p sendPacer) delay(bytes int64) time.Duration {
	if p.bytesPerSecond == 0 {
		return 0
	}
	return min(time.Duration(float64(bytes)/p.bytesPerSecond*float64(time.Second)), heartbeatInterval)
}
