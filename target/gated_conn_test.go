package target

import (
	"errors"
	"net"
	"testing"
	"time"
)

func TestGatedConn(t *testing.T) {
	barred := new(SendLatch)
	barred.Cancel()
	set := new(SendLatch)
	set.Set()
	cases := []struct {
		name    string
		gate    *gate
		retired bool
		err     error
		written bool
		// latched is the latch's state afterwards.
		latched bool
	}{
		{name: "not handed to a dispatch", err: errUnarmed},
		{name: "retired", gate: &gate{latch: new(SendLatch)}, retired: true, err: errRetired},
		{name: "open", gate: &gate{latch: new(SendLatch)}, written: true, latched: true},
		{name: "in time", gate: &gate{latch: new(SendLatch), notAfter: time.Now().Add(time.Hour)}, written: true, latched: true},
		{name: "expired", gate: &gate{latch: new(SendLatch), notAfter: time.Now().Add(-time.Hour)}, err: errExpired},
		{name: "barred", gate: &gate{latch: barred}, err: errBarred},
		{name: "used before", gate: &gate{latch: set}, err: net.ErrClosed, latched: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inner := new(recordingConn)
			conn := &gatedConn{Conn: inner}
			if c.gate != nil {
				conn.arm(c.gate)
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
			if c.gate != nil && c.gate.latch.IsSet() != c.latched {
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
