package hoststate

import "sync/atomic"

// traffic counts datagrams since the start of the process.
type traffic struct {
	sent     atomic.Int64
	received atomic.Int64
	// shortened counts the messages to far peers that left out what could wait for the link.
	shortened atomic.Int64
	// sendTime is the longest time, in nanoseconds, that it took to hand a message for all its
	// receivers to the system since it was last read. Only the sending goroutine raises it.
	sendTime atomic.Int64
}
