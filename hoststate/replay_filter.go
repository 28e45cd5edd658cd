package hoststate

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// lowerIncarnationAfter is how long a host must have been silent before a process with
// a lower incarnation is accepted as its successor. Incarnations are start times, so a
// host's clock that jumps backwards lowers them.
const lowerIncarnationAfter = 300 * time.Millisecond

// replayFilter rejects duplicate and reordered messages, and those of earlier
// processes.
type replayFilter struct {
	lastAccepted map[ident.Host]lastMessage
}

// lastMessage identifies the last message accepted from a host.
type lastMessage struct {
	incarnation uint64
	sequence    uint64
	receivedAt  time.Time
}

func newReplayFilter() *replayFilter {
	return &replayFilter{lastAccepted: make(map[ident.Host]lastMessage)}
}

// accept reports whether the message is newer than the last one accepted from the
// host, and records it if so.
func (f *replayFilter) accept(now time.Time, host ident.Host, incarnation, sequence uint64) bool {
	last, known := f.lastAccepted[host]
	switch {
	case !known || incarnation > last.incarnation:
	case incarnation == last.incarnation:
		if sequence <= last.sequence {
			return false
		}
	case now.Sub(last.receivedAt) < lowerIncarnationAfter:
		return false
	}
	f.lastAccepted[host] = lastMessage{incarnation: incarnation, sequence: sequence, receivedAt: now}
	return true
}
