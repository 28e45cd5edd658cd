package peer

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/internal/proto/peerpb"
	"github.com/cornelyard/cornelyard/timeline"
)

// linkTest sends numbered frames over a link whose dials and sessions the test controls.
type linkTest struct {
	t     *testing.T
	link  *link
	clock *timeline.Clock
	sent  int
	// padding is appended to the number in each frame.
	padding string
}

func newLinkTest(t *testing.T) *linkTest {
	return &linkTest{t: t, link: newLink("a"), clock: timeline.NewClock()}
}

func (l *linkTest) send(mayDial bool) error {
	frame := &peerpb.Frame{Body: &peerpb.Frame_Cancel{Cancel: &peerpb.Cancel{Id: strconv.Itoa(l.sent) + l.padding}}}
	l.sent++
	_, err := l.link.push(frame, l.clock, mayDial)
	return err
}

// openSession opens a session and returns it.
func (l *linkTest) openSession(incarnation uint64) *session {
	s := newTestSession(l.t, incarnation, time.Now())
	l.link.mu.Lock()
	defer l.link.mu.Unlock()
	l.link.replaceSession(s)
	return s
}

// checkNoGap checks that no frame is missing between those queued on a session, and returns
// how many there are. The receiver's check must come to the same result.
func (l *linkTest) checkNoGap(s *session) int {
	l.t.Helper()
	encoded, _ := s.outbox.take()
	reader := bufio.NewReader(bytes.NewReader(encoded))
	previous, count := -1, 0
	receiver := &session{}
	for {
		f, err := readFrame(reader)
		if errors.Is(err, io.EOF) {
			return count
		}
		if err != nil {
			l.t.Fatal(err)
		}
		number, err := strconv.Atoi(strings.TrimRight(f.GetCancel().GetId(), "x"))
		if err != nil {
			l.t.Fatal(err)
		}
		if previous >= 0 && number != previous+1 {
			l.t.Fatalf("frame %d after %d in one session", number, previous)
		}
		previous = number
		count++
		if !receiver.continues(f.GetNumber()) {
			l.t.Fatalf("the receiver misses a frame before frame %d", number)
		}
	}
}

func TestNoFrameIsMissingAfterSupersededDial(t *testing.T) {
	l := newLinkTest(t)
	l.link.tryBeginDial(time.Now(), true)
	_ = l.send(true)
	l.link.dialSuperseded(time.Now())
	_ = l.send(true)
	s := l.openSession(1)
	_ = l.send(true)
	if n := l.checkNoGap(s); n != 3 {
		t.Errorf("%d frames in the session, want 3", n)
	}
}

func TestNoFrameIsMissingAfterFullQueue(t *testing.T) {
	l := newLinkTest(t)
	l.padding = strings.Repeat("x", maxPendingBytes/4)
	l.link.tryBeginDial(time.Now(), true)
	refused := false
	for range 10 {
		refused = l.send(true) != nil || refused
	}
	if !refused {
		t.Fatal("no frame was refused")
	}
	s := l.openSession(1)
	if !s.framesLost {
		t.Error("the lost frames are not reported")
	}
	_ = l.send(true)
	l.checkNoGap(s)
}

func TestNoFrameIsMissingWhateverTheDialsDo(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 2))
		l := newLinkTest(t)
		var open *session
		for n := range uint64(60) {
			switch random.IntN(8) {
			case 0:
				l.link.tryBeginDial(time.Now().Add(time.Hour), true)
			case 1:
				l.link.dialSuperseded(time.Now())
			case 2:
				l.link.dialFailed(time.Now())
			case 3:
				if open != nil {
					l.checkNoGap(open)
				}
				open = l.openSession(n)
			case 4:
				if open != nil {
					open.close(errStopped)
					l.link.removeSession(open)
				}
			default:
				_ = l.send(random.IntN(4) > 0)
			}
		}
		if open != nil {
			l.checkNoGap(open)
		}
	}
}

// A sender that leaves out a refused frame must be noticed.
func TestReceiverNoticesMissingFrame(t *testing.T) {
	l := newLinkTest(t)
	before := l.openSession(1)
	_ = l.send(true)
	queued, _ := before.outbox.take()
	before.close(errStopped)
	if l.send(false) == nil {
		t.Fatal("no frame was refused")
	}
	after := l.openSession(2)
	_ = l.send(true)
	after.outbox.prepend(bytes.Clone(queued))
	encoded, _ := after.outbox.take()
	reader := bufio.NewReader(bytes.NewReader(encoded))
	receiver := &session{}
	for _, want := range []bool{true, false} {
		f, err := readFrame(reader)
		if err != nil {
			t.Fatal(err)
		}
		if got := receiver.continues(f.GetNumber()); got != want {
			t.Errorf("frame %d continues the session: %v, want %v", f.GetNumber(), got, want)
		}
	}
}
