package peer

import (
	"errors"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/cornelyard/cornelyard/internal/proto/peerpb"
)

// openSession returns a session over a pipe that nobody reads.
func openSession(t *testing.T, incarnation uint64, opened time.Time) *session {
	t.Helper()
	conn, _ := net.Pipe()
	mux, err := yamux.Client(conn, muxConfig())
	if err != nil {
		t.Fatal(err)
	}
	s := &session{
		greeted:     &greeted{began: opened, conn: conn, mux: mux, hello: &peerpb.Hello{}},
		incarnation: incarnation,
		opened:      opened,
		outbox:      newOutbox(maxBacklogBytes),
		finished:    make(chan struct{}),
		closed:      make(chan struct{}),
	}
	t.Cleanup(func() { s.close(errStopped) })
	return s
}

// slow gives the session a connection that began earlier.
func slow(s *session, began time.Time) *session {
	s.began = began
	return s
}

func TestAdmit(t *testing.T) {
	now := time.Unix(1000, 0)
	young, old := now.Add(-settledAfter/2), now.Add(-2*settledAfter)
	for _, c := range []struct {
		name string
		open *session
		new  *session
		kept bool
	}{
		{"no session yet", nil, openSession(t, 1, now), true},
		{"both dialled at once", openSession(t, 1, young), openSession(t, 1, now), false},
		{"the handshake took long after both dialled at once", openSession(t, 1, old), slow(openSession(t, 1, now), old), false},
		{"the other side lost the session", openSession(t, 1, old), openSession(t, 1, now), true},
		{"the other host restarted", openSession(t, 1, young), openSession(t, 2, now), true},
		{"a connection of the process before", openSession(t, 2, old), openSession(t, 1, now), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newLink("b")
			if c.open != nil {
				l.install(c.open)
			}
			err := l.admit(c.new, 7)
			checkDecision(t, l, c.open, c.new, err, c.kept)
		})
	}
}

func TestFollow(t *testing.T) {
	now := time.Unix(1000, 0)
	numbered := func(incarnation, number uint64) *session {
		s := openSession(t, incarnation, now)
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
		{"an earlier decision that comes late", numbered(1, 2), numbered(1, 1), false},
		{"the other host restarted and counts anew", numbered(1, 9), numbered(2, 1), true},
		{"a connection of the process before", numbered(2, 1), numbered(1, 9), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newLink("b")
			if c.open != nil {
				l.install(c.open)
			}
			err := l.follow(c.new)
			checkDecision(t, l, c.open, c.new, err, c.kept)
		})
	}
}

func checkDecision(t *testing.T, l *link, open, newer *session, err error, kept bool) {
	t.Helper()
	want := open
	if kept {
		want = newer
	}
	if errors.Is(err, errDuplicate) == kept || l.session() != want {
		t.Errorf("error %v, the new session is kept: %v, want %v", err, l.session() == newer, kept)
	}
	if kept && open != nil && (!open.isClosed() || newer.previous != open.finished) {
		t.Error("the new session doesn't wait for the end of the old one")
	}
}

func TestRetire(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name    string
		prepare func(*link)
		retired bool
	}{
		{"never used", func(*link) {}, true},
		{"a session is open", func(l *link) { l.install(openSession(t, 1, now)) }, false},
		{"a call waits", func(l *link) { l.wait() }, false},
		{"a dial is in progress", func(l *link) { l.beginDial(now, true) }, false},
		{"the handlers are not done", func(l *link) {
			s := openSession(t, 1, now)
			l.install(s)
			l.remove(s)
		}, false},
		{"the handlers are done", func(l *link) {
			s := openSession(t, 1, now)
			l.install(s)
			l.remove(s)
			close(s.finished)
		}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newLink("b")
			c.prepare(l)
			if got := l.retire(); got != c.retired {
				t.Fatalf("retired: %v, want %v", got, c.retired)
			}
			if err := l.admit(openSession(t, 2, now), 1); c.retired != errors.Is(err, errDuplicate) {
				t.Errorf("a new session: %v", err)
			}
		})
	}
}
