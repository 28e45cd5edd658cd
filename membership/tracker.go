package membership

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/proto/peerpb"
	"github.com/cornelyard/cornelyard/metrics"
	"github.com/cornelyard/cornelyard/timeline"
)

const (
	// inboxSize bounds the inputs that wait for the tracker. More are dropped:
	// the next heartbeat makes up for a lost one.
	inboxSize = 1024
	// ticksPerHeartbeat is how often silence is checked in a heartbeat interval.
	ticksPerHeartbeat = 2
	// handshakeAllowance is how old the member list of a Hello may be when its
	// session opens.
	handshakeAllowance = 5 * time.Second
)

// Tracker follows the members and tells them that this host is alive. It
// implements Source and peer.Handler. Its methods are safe for concurrent use.
type Tracker struct {
	options Options
	timing  timing

	inbox   chan input
	urgent  chan struct{}
	leaving atomic.Bool
	version atomic.Uint64
	dropped tally.Counter

	mu      sync.Mutex
	view    *View
	changed chan struct{}

	sender            Sender
	onSettingsVersion func(version uint64)

	// The rest belongs to the goroutine of Run.
	state     *state
	told      map[ident.Host]time.Time
	metronome metronome
}

// NewTracker returns a tracker that knows only the own host.
func NewTracker(o Options) *Tracker {
	o.fillIn()
	t := &Tracker{
		options: o,
		timing:  newTiming(o.Timing),
		inbox:   make(chan input, inboxSize),
		urgent:  make(chan struct{}, 1),
		dropped: o.Scope.Counter(metrics.MembershipInputsDropped),
		changed: make(chan struct{}),
		told:    make(map[ident.Host]time.Time),
	}
	t.version.Store(o.Self.SettingsVersion)
	t.leaving.Store(o.Self.Leaving)
	t.metronome = metronome{interval: t.timing.heartbeat}
	t.state = newState(o.Self, t.timing)
	t.view = t.state.view(1)
	t.state.takeDirty()
	return t
}

// SetSender sets what heartbeats are sent through. It is called before Run.
func (t *Tracker) SetSender(s Sender) { t.sender = s }

// OnSettingsVersion sets the function that is told of a settings version newer
// than the own one. It is called before Run; the function must not block.
func (t *Tracker) OnSettingsVersion(f func(version uint64)) { t.onSettingsVersion = f }

// SetLeaving tells the others that this host is stopping.
func (t *Tracker) SetLeaving() {
	t.leaving.Store(true)
	t.hurry()
}

// SetSettingsVersion tells the others which settings version is in force here.
func (t *Tracker) SetSettingsVersion(version uint64) {
	t.version.Store(version)
	t.hurry()
}

// View implements Source.
func (t *Tracker) View() *View {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.view
}

// Changed implements Source.
func (t *Tracker) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// HandleFrame implements peer.Handler.
func (t *Tracker) HandleFrame(from ident.Host, f *peerpb.Frame) {
	if h := f.GetHeartbeat(); h != nil {
		t.post(heartbeatInput{from: from, heartbeat: h})
	}
}

// HandleHello implements peer.HelloHandler.
func (t *Tracker) HandleHello(_ ident.Host, h *peerpb.Hello) {
	t.post(helloInput{hello: h})
}

// SessionUp implements peer.Handler.
func (t *Tracker) SessionUp(host ident.Host) {
	t.post(sessionUpInput{host: host})
}

// SessionDown implements peer.Handler.
func (t *Tracker) SessionDown(host ident.Host) {
	t.post(sessionDownInput{host: host})
}

// DialRefused implements peer.DialObserver.
func (t *Tracker) DialRefused(host ident.Host) {
	t.post(refusedInput{host: host})
}

// Run follows the members until ctx ends. It returns nil then.
func (t *Tracker) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return t.loop(ctx) })
	if t.options.HostList != nil {
		group.Go(func() error { return t.readHostList(ctx) })
	}
	return group.Wait()
}

func (t *Tracker) loop(ctx context.Context) error {
	timer := time.NewTimer(t.metronome.next(time.Now()))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case in := <-t.inbox:
			t.take(in, time.Now())
		case <-t.urgent:
			t.noteSelf(time.Now())
			t.beat(time.Now(), everyone)
		case <-timer.C:
			t.tick(time.Now())
			timer.Reset(t.metronome.next(time.Now()))
		}
		t.publish()
	}
}

// take applies an input. After a pause of this process, inputs from before it
// must not pass for signs of life.
func (t *Tracker) take(in input, now time.Time) {
	if t.state.overdue(now) {
		t.tick(now)
	}
	in.apply(t, now)
}

func (t *Tracker) tick(now time.Time) {
	t.noteSelf(now)
	t.state.tick(now)
	switch t.metronome.stroke(now, now) {
	case beatEveryone:
		t.beat(now, everyone)
	case beatOwnDataCentre:
		t.beat(now, ownDataCentre)
	}
}

func (t *Tracker) noteSelf(now time.Time) {
	t.state.setSelf(t.leaving.Load(), t.version.Load(), now)
}

// publish replaces the view if it changed, and passes on what happened.
func (t *Tracker) publish() {
	for _, e := range t.state.takeEvents() {
		t.note(e)
	}
	if !t.state.takeDirty() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.view = t.state.view(t.view.Version + 1)
	close(t.changed)
	t.changed = make(chan struct{})
	t.gauge(t.view)
}

func (t *Tracker) gauge(v *View) {
	counts := map[State]int{Alive: 0, Suspect: 0, Dead: 0}
	for _, m := range v.Members {
		counts[m.State]++
	}
	for state, n := range counts {
		tags := map[string]string{metrics.TagState: string(state)}
		t.options.Scope.Tagged(tags).Gauge(metrics.Members).Update(float64(n))
	}
}

func (t *Tracker) note(e timeline.Event) {
	t.options.Recorder.Record(e)
	logger := t.options.Logger
	switch e.Kind {
	case timeline.MemberJoined:
		logger.Info().Str("host", string(e.Peer)).Msg("Member is alive.")
	case timeline.MemberLost:
		logger.Warn().Str("host", string(e.Peer)).Str("cause", e.Detail).Msg("Member is dead.")
	case timeline.PauseSeen:
		t.options.Scope.Counter(metrics.Pauses).Inc(1)
		logger.Warn().Str("length", e.Detail).Msg("This process was not running for a while.")
	}
}

// hurry makes the next heartbeat leave at once.
func (t *Tracker) hurry() {
	select {
	case t.urgent <- struct{}{}:
	default:
	}
}

func (t *Tracker) post(in input) {
	select {
	case t.inbox <- in:
	default:
		t.dropped.Inc(1)
	}
}
