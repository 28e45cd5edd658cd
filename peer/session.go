package peer

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/timeline"
)

// session is one open connection to another host.
type session struct {
	*transport
	mesh        *Mesh
	host        ident.Host
	incarnation uint64
	// number orders the sessions kept by the host with the smaller name.
	number uint64
	opened time.Time
	outbox *outbox
	// lastRead is when the last frame was received, in Unix nanoseconds.
	lastRead atomic.Int64

	// framesLost says that frames queued before the session opened were dropped.
	framesLost bool

	// lastNumber is the number of the last frame received, or zero.
	lastNumber uint64

	// previousDone is closed when the handlers have finished with the preceding
	// session.
	previousDone <-chan struct{}
	handlersDone chan struct{}

	closeOnce sync.Once
	closed    chan struct{}
	cause     error
}

func newSession(m *Mesh, t *transport) *session {
	s := &session{
		transport:    t,
		mesh:         m,
		host:         t.host(),
		incarnation:  t.hello.GetSelf().GetIncarnation(),
		opened:       time.Now(),
		outbox:       newOutbox(maxBacklogBytes),
		handlersDone: make(chan struct{}),
		closed:       make(chan struct{}),
	}
	s.lastRead.Store(s.opened.UnixNano())
	return s
}

// run serves the session until it ends. It uses one goroutine for reading, one for
// writing and one for unary calls.
func (s *session) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group sync.WaitGroup
	group.Go(s.write)
	group.Go(func() { s.acceptCalls(ctx) })
	group.Go(func() { s.closeOnCancel(ctx) })
	s.read()
	cancel()
	group.Wait()
}

// closeOnCancel closes the session when ctx is done.
func (s *session) closeOnCancel(ctx context.Context) {
	select {
	case <-ctx.Done():
		s.close(errStopped)
	case <-s.closed:
	}
}

// close ends the session. Only the first cause is recorded.
func (s *session) close(cause error) {
	s.closeOnce.Do(func() {
		s.cause = cause
		if errors.Is(cause, ErrBacklogFull) {
			s.mesh.counters.backlogsFull.Inc(1)
		}
		close(s.closed)
		s.transport.close()
	})
}

func (s *session) isClosed() bool {
	select {
	case <-s.closed:
		return true
	default:
		return false
	}
}

// read calls the handlers for the session: SessionUp, each frame, then SessionDown. It
// starts after the handlers have finished with the preceding session.
func (s *session) read() {
	if s.previousDone != nil {
		<-s.previousDone
	}
	l := s.mesh.links.findOrCreate(s.host)
	if s.framesLost {
		l.deliver(func() { s.mesh.handlers.sessionDown(s.host) })
	}
	l.deliver(func() { s.mesh.handlers.sessionUp(s.host, s.hello) })
	s.mesh.recordSessionUp(s)
	s.close(s.readFrames(l))
	l.removeSession(s)
	l.deliver(func() { s.mesh.handlers.sessionDown(s.host) })
	s.mesh.recordSessionDown(s)
	close(s.handlersDone)
}

func (s *session) readFrames(l *link) error {
	for {
		f, err := readFrame(s.reader)
		if err != nil {
			return err
		}
		s.lastRead.Store(time.Now().UnixNano())
		s.mesh.options.Clock.Observe(timeline.Timestamp{Wall: f.GetClockWall(), Logical: f.GetClockLogical()})
		s.mesh.counters.framesReceived.Inc(1)
		if !s.continues(f.GetNumber()) {
			s.mesh.counters.framesMissing.Inc(1)
			return ErrFrameMissing
		}
		if f.GetBody() == nil {
			continue
		}
		l.deliver(func() { s.mesh.handlers.handleFrame(s.host, f) })
	}
}

// continues records the number of a received frame. It returns false if the one before it
// did not arrive.
func (s *session) continues(number uint64) bool {
	previous := s.lastNumber
	s.lastNumber = number
	return previous == 0 || number == 0 || number == previous+1
}

// write sends queued frames, all that are available at a time.
func (s *session) write() {
	for {
		select {
		case <-s.closed:
			return
		case <-s.outbox.ready:
		}
		encoded, frames := s.outbox.take()
		if err := s.writeChunks(encoded); err != nil {
			s.close(Error.Wrap(err))
			return
		}
		s.mesh.counters.framesSent.Inc(frames)
		s.mesh.counters.bytesSent.Inc(int64(len(encoded)))
	}
}

// writeChunks writes in chunks, each of which must complete within writeTimeout.
func (s *session) writeChunks(encoded []byte) error {
	for len(encoded) > 0 {
		chunk := encoded[:min(len(encoded), writeChunkBytes)]
		if err := s.stream.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return err
		}
		if _, err := s.stream.Write(chunk); err != nil {
			return err
		}
		encoded = encoded[len(chunk):]
	}
	return nil
}

// idleTime returns the time since the last frame was received.
func (s *session) idleTime(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, s.lastRead.Load()))
}
