package peer

import (
	"errors"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/cornelyard/cornelyard/internal/proto/peerpb"
)

// newTestSession returns a session over a pipe that is not read.
func newTestSession(t *testing.T, incarnation uint64, opened time.Time) *session {
	t.Helper()
	conn, _ := net.Pipe()
	mux, err := yamux.Client(conn, muxConfig())
	if err != nil {
		t.Fatal(err)
	}
	s := &session{
		transport:    &transport{startTime: opened, conn: conn, mux: mux, hello: &peerpb.Hello{}},
		incarnation:  incarnation,
		opened:       opened,
		outbox:       newOutbox(maxBacklogBytes),
		handlersDone: make(chan struct{}),
		closed:       make(chan struct{}),
	}
	t.Cleanup(func() { s.close(errStopped) })
	return s
}

// withStartTime sets when the connection of the session was started.
func withStartTime(s *session, startTime time.Time) *session {
	s.startTime = startTime
	return s
}

func TestDecide(t *testing.T) {
	now := time.Unix(1000, 0)
	recent, earlier := now.Add(-simultaneousDialWindow/2), now.Add(-2*simultaneousDialWindow)
	for _, c := range []struct {
		name string
		open *session
		new  *session
		kept bool
	}{
		{"no session yet", nil, newTestSession(t, 1, now), true},
		{"simultaneous dials", newTestSession(t, 1, recent), newTestSession(t, 1, now), false},
		{"simultaneous dials and a slow handshake", newTestSession(t, 1, earlier), withStartTime(newTestSession(t, 1, now), earlier), false},
		{"the other side lost the session", newTestSession(t, 1, earlier), newTestSession(t, 1, now), true},
		{"the other host restarted", newTestSession(t, 1, recent), newTestSession(t, 2, now), true},
		{"a connection from the previous process", newTestSession(t, 2, earlier), newTestSession(t, 1, now), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newLink("b")
			if c.open != nil {
				l.replaceSession(c.open)
			}
			err := l.decide(c.new, 7)
			checkDecision(t, l, c.open, c.new, err, c.kept)
		})
	}
}

func TestApplyDecision(t *testing.T) {
	now := time.Unix(1000, 0)
	numbered := func(incarnation, number uint64) *session {
		s := newTestSession(t, incarnation, now)
		s.number = number
		return s
	}
	for _, c := range []struct {
		name string
		open *session
		new  *session
		kept bool
	}{
		{"no session yet", nil, numbered(1, 1), true},
		{"a later decision", numbered(1, 1), numbered(1, 2), true},
		{"an earlier decision that arrives late", numbered(1, 2), numbered(1, 1), false},
		{"the other host restarted its numbering", numbered(1, 9), numbered(2, 1), true},
		{"a connection from the previous process", numbered(2, 1), numbered(1, 9), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newLink("b")
			if c.open != nil {
				l.replaceSession(c.open)
			}
			err := l.applyDecision(c.new)
			checkDecision(t, l, c.open, c.new, err, c.kept)
		})
	}
}

func checkDecision(t *testing.T, l *link, open, replacement *session, err error, kept bool) {
	t.Helper()
	want := open
	if kept {
		want = replacement
	}
	if errors.Is(err, errDuplicate) == kept || l.openSession() != want {
		t.Errorf("error %v; new session kept: %v, want %v", err, l.openSession() == replacement, kept)
	}
	if kept && open != nil && (!open.isClosed() || replacement.previousDone != open.handlersDone) {
		t.Error("the open session is not closed, or the new one does not wait for its end")
	}
}

func TestTryRemove(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name    string
		prepare func(*link)
		removed bool
	}{
		{"never used", func(*link) {}, true},
		{"a session is open", func(l *link) { l.replaceSession(newTestSession(t, 1, now)) }, false},
		{"a call waits", func(l *link) { l.addWaiter() }, false},
		{"a dial is in progress", func(l *link) { l.tryBeginDial(now, true) }, false},
		{"the handlers have not finished", func(l *link) {
			s := newTestSession(t, 1, now)
			l.replaceSession(s)
			l.removeSession(s)
		}, false},
		{"the handlers have finished", func(l *link) {
			s := newTestSession(t, 1, now)
			l.replaceSession(s)
			l.removeSession(s)
			close(s.handlersDone)
		}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newLink("b")
			c.prepare(l)
			if got := l.tryRemove(); got != c.removed {
				t.Fatalf("removed: %v, want %v", got, c.removed)
			}
			if err := l.decide(newTestSession(t, 2, now), 1); c.removed != errors.Is(err, errDuplicate) {
				t.Errorf("deciding on a new session: %v", err)
			}
		})
	}
}
