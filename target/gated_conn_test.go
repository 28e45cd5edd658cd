package target

import (
	"errors"
	"net"
	"testing"
	"time"
)

func TestGatedConn(t *testing.T) {
	cancelled := new(SendLatch)
	cancelled.Cancel()
	set := new(SendLatch)
	set.Set()
	cases := []struct {
		name    string
		gate    *sendGate
		retired bool
		err     error
		written bool
		// latchSet is the expected state of the latch after the write.
		latchSet bool
	}{
		{name: "not assigned to a dispatch", err: errUnassigned},
		{name: "retired", gate: &sendGate{latch: new(SendLatch)}, retired: true, err: errRetired},
		{name: "open", gate: &sendGate{latch: new(SendLatch)}, written: true, latchSet: true},
		{name: "before the start limit", gate: &sendGate{latch: new(SendLatch), notAfter: time.Now().Add(time.Hour)}, written: true, latchSet: true},
		{name: "after the start limit", gate: &sendGate{latch: new(SendLatch), notAfter: time.Now().Add(-time.Hour)}, err: errStartExpired},
		{name: "cancelled", gate: &sendGate{latch: cancelled}, err: errCancelled},
		{name: "dispatch already sent on another connection", gate: &sendGate{latch: set}, err: net.ErrClosed, latchSet: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inner := new(recordingConn)
			conn := &gatedConn{Conn: inner}
			if c.gate != nil {
				conn.assign(c.gate)
			}
			if c.retired {
				conn.retire()
			}
			_, err := conn.Write([]byte("x"))
			if c.err == net.ErrClosed {
				if !inner.closed || inner.written {
					t.Errorf("closed = %v, written = %v, want closed without a write", inner.closed, inner.written)
				}
				return
			}
			if !errors.Is(err, c.err) || inner.written != c.written {
				t.Errorf("unexpected write result: error %v, written %v", err, inner.written)
			}
			if c.gate != nil && c.gate.latch.IsSet() != c.latchSet {
				t.Errorf("latch set = %v, want the opposite", c.gate.latch.IsSet())
			}
		})
	}
}

// recordingConn records whether it was written to and closed.
type recordingConn struct {
	net.Conn
	written bool
	closed  bool
}

func (c *recordingConn) Write(p []byte) (int, error) {
	c.written = true
	return len(p), nil
}

func (c *recordingConn) Close() error {
	c.closed = true
	return nil
}
