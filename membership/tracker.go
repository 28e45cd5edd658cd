package membership

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/broadcast"
	"github.com/cornelyard/cornelyard/metrics"
	"github.com/cornelyard/cornelyard/timeline"
)

const (
	// inboxSize is the capacity of the queue of inputs. Inputs beyond it are dropped;
	// the next heartbeat makes up for a lost one.
	inboxSize = 1024
	// ticksPerHeartbeat is how many times per heartbeat interval timeouts are checked.
	ticksPerHeartbeat = 2
	// maxHelloAge is the maximum age of the member list in a Hello when its session
	// opens. Members that changed within that time are sent again.
	maxHelloAge = 5 * time.Second
)

// Tracker maintains the view of the members and sends them heartbeats from this host.
// It implements Source and peer.Handler. Its methods are safe for concurrent use.
type Tracker struct {
	options Options
	timing  timing

	inbox   chan input
	sendNow chan struct{}
	leaving atomic.Bool
	version atomic.Uint64
	dropped tally.Counter

	mu      sync.Mutex
	view    *View
	changed broadcast.Signal

	sender            Sender
	onSettingsVersion func(version uint64)

	// The fields below belong to the goroutine of Run.
	detector      *detector
	membersSentAt map[ident.Host]time.Time
	schedule      heartbeatSchedule
}

// NewTracker returns a tracker that knows only this host.
func NewTracker(o Options) *Tracker {
	o.setDefaults()
	t := &Tracker{
		options:       o,
		timing:        newTiming(o.Timing),
		inbox:         make(chan input, inboxSize),
		sendNow:       make(chan struct{}, 1),
		dropped:       o.Scope.Counter(metrics.MembershipInputsDropped),
		changed:       broadcast.NewSignal(),
		membersSentAt: make(map[ident.Host]time.Time),
	}
	t.version.Store(o.Self.SettingsVersion)
	t.leaving.Store(o.Self.Leaving)
	t.schedule = heartbeatSchedule{interval: t.timing.heartbeat}
	t.detector = newDetector(o.Self, t.timing)
	t.view = t.detector.view(1)
	t.detector.takeViewChanged()
	return t
}

// SetSender sets the sender of heartbeats. It must be called before Run.
func (t *Tracker) SetSender(sender Sender) { t.sender = sender }

// OnSettingsVersion sets the function that is called when another host announces a
// settings version newer than this host's. It must be called before Run; the function
// must not block.
func (t *Tracker) OnSettingsVersion(f func(version uint64)) { t.onSettingsVersion = f }

// SetLeaving announces to the other hosts that this host is stopping.
func (t *Tracker) SetLeaving() {
	t.leaving.Store(true)
	t.requestHeartbeat()
}

// SetSettingsVersion announces to the other hosts the settings version in force here.
func (t *Tracker) SetSettingsVersion(version uint64) {
	t.version.Store(version)
	t.requestHeartbeat()
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
	return t.changed.Next()
}

// Run tracks the members until ctx is done, and then returns nil.
func (t *Tracker) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return t.loop(ctx) })
	if t.options.HostList != nil {
		group.Go(func() error { return t.pollHostList(ctx) })
	}
	return group.Wait()
}

func (t *Tracker) loop(ctx context.Context) error {
	timer := time.NewTimer(t.schedule.untilNextTick(time.Now()))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case in := <-t.inbox:
			t.handleInput(in, time.Now())
		case <-t.sendNow:
			t.refreshSelf(time.Now())
			t.sendHeartbeats(time.Now(), scopeAllHosts)
		case <-timer.C:
			t.tick(time.Now())
			timer.Reset(t.schedule.untilNextTick(time.Now()))
		}
		t.publish()
	}
}

// handleInput applies an input. It first checks whether this process was paused,
// because inputs queued before a pause are no evidence that their senders are still
// alive.
func (t *Tracker) handleInput(in input, now time.Time) {
	if t.detector.processPaused(now) {
		t.tick(now)
	}
	in.apply(t, now)
}

func (t *Tracker) tick(now time.Time) {
	t.refreshSelf(now)
	t.detector.checkTimeouts(now)
	switch t.schedule.actionAt(now, now) {
	case sendAllHosts:
		t.sendHeartbeats(now, scopeAllHosts)
	case sendLocalDataCentre:
		t.sendHeartbeats(now, scopeLocalDataCentre)
	}
}

func (t *Tracker) refreshSelf(now time.Time) {
	t.detector.updateSelf(t.leaving.Load(), t.version.Load(), now)
}

// publish records the new events and replaces the view if it changed.
func (t *Tracker) publish() {
	for _, e := range t.detector.takeEvents() {
		t.recordEvent(e)
	}
	if !t.detector.takeViewChanged() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.view = t.detector.view(t.view.Version + 1)
	t.changed.Notify()
	t.updateGauges(t.view)
}

func (t *Tracker) updateGauges(v *View) {
	counts := map[State]int{Alive: 0, Suspect: 0, Dead: 0}
	for _, m := range v.Members {
		counts[m.State]++
	}
	for state, n := range counts {
		tags := map[string]string{metrics.TagState: string(state)}
		t.options.Scope.Tagged(tags).Gauge(metrics.Members).Update(float64(n))
	}
}

func (t *Tracker) recordEvent(e timeline.Event) {
	t.options.Recorder.Record(e)
	logger := t.options.Logger
	switch e.Kind {
	case timeline.MemberJoined:
		logger.Info().Str("host", string(e.Peer)).Msg("Member is alive.")
	case timeline.MemberLost:
		logger.Warn().Str("host", string(e.Peer)).Str("cause", e.Detail).Msg("Member is dead.")
	case timeline.PauseDetected:
		t.options.Scope.Counter(metrics.ProcessPauses).Inc(1)
		logger.Warn().Str("length", e.Detail).Msg("This process was paused; the view is stale until the local members send heartbeats again.")
	}
}

// requestHeartbeat makes the loop send a heartbeat to all hosts at once. It does not
// block.
func (t *Tracker) requestHeartbeat() {
	select {
	case t.sendNow <- struct{}{}:
	default:
	}
}
