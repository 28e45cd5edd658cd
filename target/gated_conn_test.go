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
		// latched is the latch's state afterwards.
		latchSet bool
	}{
		{name: "not handed to a dispatch", err: errUnassigned},
		{name: "retired", gate: &sendGate{latch: new(SendLatch)}, retired: true, err: errRetired},
		{name: "open", gate: &sendGate{latch: new(SendLatch)}, written: true, latchSet: true},
		{name: "in time", gate: &sendGate{latch: new(SendLatch), notAfter: time.Now().Add(time.Hour)}, written: true, latchSet: true},
		{name: "expired", gate: &sendGate{latch: new(SendLatch), notAfter: time.Now().Add(-time.Hour)}, err: errStartExpired},
		{name: "barred", gate: &sendGate{latch: cancelled}, err: errCancelled},
		{name: "used before", gate: &sendGate{latch: set}, err: net.ErrClosed, latchSet: true},
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
					t.Errorf("closed %v, written %v", inner.closed, inner.written)
				}
				return
			}
			if !errors.Is(err, c.err) || inner.written != c.written {
				t.Errorf("error %v, written %v", err, inner.written)
			}
			if c.gate != nil && c.gate.latch.IsSet() != c.latchSet {
				t.Errorf("the latch is set: %v", c.gate.latch.IsSet())
			}
		})
	}
}

// recordingConn remembers what was done to it.
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
