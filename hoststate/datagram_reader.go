package hoststate

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/net/ipv4"

	"github.com/cornelyard/cornelyard/internal/periodic"
)

const (
	// readInterval is the time between two reads of datagrams in a divided system, while no decision
	// has to be made. Each read wakes up the process, which costs more than what it reads. What
	// waits in the socket buffer meanwhile, some twenty states of a kilobyte, takes a part of it. A
	// state that is read this late after a lost one is still newer than 250 ms, the time after which
	// a host counts as missing.
	readInterval = 40 * time.Millisecond
	// minReadInterval is the age up to which a decision uses what was read before.
	minReadInterval = 5 * time.Millisecond
)

// datagramReader reads datagrams at intervals, before decisions, or as soon as they arrive.
type datagramReader struct {
	urgent atomic.Bool
	// wake ends the sleep between two reads.
	wake chan struct{}

	// mu is held while datagrams are read and handled, and during a wait for them.
	mu     sync.Mutex
	conn   *ipv4.PacketConn
	batch  []ipv4.Message
	filter *replayFilter
	readAt time.Time
}

func newDatagramReader() datagramReader {
	return datagramReader{wake: make(chan struct{}, 1), batch: newReceiveBatch(), filter: newReplayFilter()}
}

func (r *datagramReader) open(conn *ipv4.PacketConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conn = conn
}

// read handles the datagrams that one system call reads, and reports whether there may be more. It
// waits for the first one if wait is set.
func (r *datagramReader) read(wait bool, handle func(*replayFilter, []byte)) (full bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readLocked(wait, handle)
}

// readLocked is read for callers that hold r.mu.
func (r *datagramReader) readLocked(wait bool, handle func(*replayFilter, []byte)) (full bool, err error) {
	flags := syscall.MSG_DONTWAIT
	if wait {
		flags = 0
	}
	n, err := r.conn.ReadBatch(r.batch, flags)
	if errors.Is(err, syscall.EAGAIN) {
		n, err = 0, nil
	}
	if err != nil {
		return false, Error.Wrap(err)
	}
	r.readAt = time.Now()
	for i := range r.batch[:n] {
		handle(r.filter, r.batch[i].Buffers[0][:r.batch[i].N])
	}
	return n == len(r.batch), nil
}

// readPending handles the datagrams that have arrived, without a wait. It does nothing while another
// goroutine reads or waits for them, or if they were read a moment ago.
func (r *datagramReader) readPending(now time.Time, handle func(*replayFilter, []byte)) {
	if r.urgent.Load() || !r.mu.TryLock() {
		return
	}
	defer r.mu.Unlock()
	if r.conn == nil || now.Sub(r.readAt) < minReadInterval {
		return
	}
	for full := true; full; {
		// The loop that reads at intervals reports errors.
		full, _ = r.readLocked(false, handle)
	}
}

func (r *datagramReader) setUrgent(urgent bool) {
	if r.urgent.Load() == urgent || r.urgent.Swap(urgent) == urgent || !urgent {
		return
	}
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// sleep waits until the next read is due, datagrams become urgent or ctx is done.
func (r *datagramReader) sleep(ctx context.Context) {
	timer := time.NewTimer(periodic.UntilNext(time.Now(), readInterval))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.wake:
	case <-ctx.Done():
	}
}
