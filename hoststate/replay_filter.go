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
	if f.rejects(now, messageHead{host: host, incarnation: incarnation, sequence: sequence}) {
		return false
	}
	f.lastAccepted[host] = lastMessage{incarnation: incarnation, sequence: sequence, receivedAt: now}
	return true
}

// rejects reports whether accept would reject the message.
func (f *replayFilter) rejects(now time.Time, m messageHead) bool {
	last, known := f.lastAccepted[m.host]
	switch {
	case !known || m.incarnation > last.incarnation:
		return false
	case m.incarnation == last.incarnation:
		return m.sequence <= last.sequence
	default:
		return now.Sub(last.receivedAt) < lowerIncarnationAfter
	}
}
