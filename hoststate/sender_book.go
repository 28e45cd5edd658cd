package hoststate

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// takeoverSilence is how long the last known process of a host must have been
// silent before a process with a lower incarnation is taken for its successor;
// the hosts' clocks may jump backwards.
const takeoverSilence = 300 * time.Millisecond

// senderBook tells which messages are new.
type senderBook struct {
	senders map[ident.Host]sender
}

// sender is the last message of one host.
type sender struct {
	incarnation uint64
	sequence    uint64
	at          time.Time
}

func newSenderBook() *senderBook {
	return &senderBook{senders: make(map[ident.Host]sender)}
}

// admit says whether a message is newer than what was heard before.
func (b *senderBook) admit(now time.Time, host ident.Host, incarnation, sequence uint64) bool {
	last, known := b.senders[host]
	switch {
	case !known || incarnation > last.incarnation:
	case incarnation == last.incarnation:
		if sequence <= last.sequence {
			return false
		}
	case now.Sub(last.at) < takeoverSilence:
		return false
	}
	b.senders[host] = sender{incarnation: incarnation, sequence: sequence, at: now}
	return true
}
