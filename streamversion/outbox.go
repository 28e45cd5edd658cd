package streamversion

const (
	// maxReported bounds the records in one report, so that it fits into a datagram beside
	// the other state.
	maxReported = 512
	// maxWaiting bounds the records that are waiting to be sent; the oldest are dropped first.
	maxWaiting = 1 << 14
	// transmissions is how often each record is sent, because a message may be lost.
	transmissions = 2
)

// outbox holds the records that are waiting to be sent to the other hosts.
type outbox struct {
	waiting []waitingRecord
}

type waitingRecord struct {
	record Record
	// left is how often the record is still to be sent.
	left int
}

func (o *outbox) add(r Record) {
	o.waiting = append(o.waiting, waitingRecord{r, transmissions})
	if excess := len(o.waiting) - maxWaiting; excess > 0 {
		o.waiting = o.waiting[excess:]
	}
}

// take returns the records to send now.
func (o *outbox) take() []Record {
	count := min(len(o.waiting), maxReported)
	taken := make([]Record, 0, count)
	again := make([]waitingRecord, 0, count)
	for _, w := range o.waiting[:count] {
		taken = append(taken, w.record)
		if w.left > 1 {
			again = append(again, waitingRecord{w.record, w.left - 1})
		}
	}
	o.waiting = append(o.waiting[count:], again...)
	return taken
}
