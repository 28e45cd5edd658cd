package relay

import (
	"context"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/periodic"
	"github.com/cornelyard/cornelyard/quarantine"
	"github.com/cornelyard/cornelyard/route"
	"github.com/cornelyard/cornelyard/schedule"
)

// peerBehavior is another host's response to a request that is passed on to it.
type peerBehavior func(ctx context.Context, d Dispatch) (*Response, error)

// SendToHost implements PeerClient.
func (b peerBehavior) SendToHost(ctx context.Context, _ ident.Host, d Dispatch) (*Response, error) {
	return b(ctx, d)
}

// addPeer makes the fixture's host receive states of another one, which responds as given to what is
// passed on to it.
func (f *fixture) addPeer(t *testing.T, peer targetBehavior) {
	t.Helper()
	f.relay.options.PeerClient = peerBehavior(peer)
	receive := func(now time.Time) { f.relay.options.Dispatcher.ApplyPeerState(now, "h2", schedule.State{}) }
	receive(time.Now())
	go func() { _ = periodic.Run(t.Context(), 50*time.Millisecond, receive) }()
}

// cutOff makes the fixture's host reach no target.
func (f *fixture) cutOff() { f.relay.options.Dispatcher.SetCutOff(time.Now(), "p", true) }

func TestPassedOnRequestKeepsToItsAttemptLimit(t *testing.T) {
	f := newFixture(t, route.Route{Kind: route.Idempotent, MaxAttempts: 2}, brokenResponse)
	f.call(context.Background(), func(c *Call) { c.PassedOn, c.EarlierDispatches = true, 1 })
	if n := len(f.client.dispatches); n != 1 {
		t.Errorf("the request was sent to %d targets after one at another host, want 1 more", n)
	}
}

func TestDispatchesBeforeARequestIsPassedOnAreTold(t *testing.T) {
	var f *fixture
	cutThenBreak := func(ctx context.Context, d Dispatch) (*Response, error) {
		f.cutOff()
		return brokenResponse(ctx, d)
	}
	f = newFixture(t, route.Route{Kind: route.Idempotent, MaxAttempts: 3}, cutThenBreak)
	earlier := -1
	f.addPeer(t, func(ctx context.Context, d Dispatch) (*Response, error) {
		earlier = d.EarlierDispatches
		return respond(200, "peer")(ctx, d)
	})
	if _, sink := f.call(context.Background(), nil); sink.body.String() != "peer" || earlier != 1 {
		t.Errorf("got body %q and %d earlier dispatches, want the other host's response and 1", sink.body.String(), earlier)
	}
}

func TestUnusedTrialEndsBeforeItsRequestIsPassedOn(t *testing.T) {
	var f *fixture
	cutAndUnreachable := func(ctx context.Context, d Dispatch) (*Response, error) {
		f.cutOff()
		return failWith(DispatchError{Result: schedule.Unreachable, NotRun: true})(ctx, d)
	}
	f = newFixture(t, route.Route{Kind: route.Idempotent, MaxAttempts: 2}, cutAndUnreachable)
	f.suspect()
	f.addPeer(t, func(ctx context.Context, d Dispatch) (*Response, error) {
		other := f.otherHost()
		for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			if _, denial := other.Begin(ctx, []quarantine.Digest{fixtureDigest()}, time.Minute); denial == nil {
				return respond(200, "peer")(ctx, d)
			}
		}
		return respond(503, "on trial")(ctx, d)
	})
	if _, sink := f.call(context.Background(), nil); sink.status != 200 {
		t.Errorf("got status %d, want 200: the other host may begin the trial", sink.status)
	}
}

func TestStalledRequestIsPassedOnOnceItsHostIsCutOff(t *testing.T) {
	r := route.Route{Kind: route.Idempotent, MaxAttempts: 2, LatencyObjective: 10 * time.Millisecond, Timeout: 4 * time.Second}
	f := newFixture(t, r, hang)
	f.addPeer(t, respond(200, "peer"))
	time.AfterFunc(100*time.Millisecond, f.cutOff)
	started := time.Now()
	_, sink := f.call(context.Background(), nil)
	if sink.body.String() != "peer" || time.Since(started) > 2*time.Second {
		t.Errorf("got status %d and body %q after %s, want the other host's response in time", sink.status, sink.body.String(), time.Since(started))
	}
}

func TestStalledRequestThatMustNotRunTwiceIsNotPassedOn(t *testing.T) {
	r := route.Route{Kind: route.NonIdempotent, MaxAttempts: 2, LatencyObjective: 10 * time.Millisecond, Timeout: 700 * time.Millisecond}
	f := newFixture(t, r, hang)
	passedOn := false
	f.addPeer(t, func(ctx context.Context, d Dispatch) (*Response, error) {
		passedOn = true
		return respond(200, "peer")(ctx, d)
	})
	time.AfterFunc(100*time.Millisecond, f.cutOff)
	f.call(context.Background(), nil)
	if passedOn {
		t.Error("the request was passed on although it may have run")
	}
}
