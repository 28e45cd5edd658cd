package entry

import (
	"fmt"
	"net/http"
	"testing"

	"pgregory.net/rapid"

	"github.com/cornelyard/cornelyard/config"
	"github.com/cornelyard/cornelyard/outcome"
)

// TestLimiterEvictsLowestTierFirst checks the limiter against a plain set of
// requests, over random arrivals and departures.
func TestLimiterEvictsLowestTierFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 6).Draw(t, "limit")
		limiter := newInFlightLimiter(limit)
		inFlight := make(map[*inFlightRequest]requestState)
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(inFlight) > 0 && rapid.IntRange(0, 3).Draw(t, "leave") == 0 {
				for completed := range inFlight {
					limiter.release(completed)
					limiter.release(completed)
					delete(inFlight, completed)
					break
				}
			}
			request := &inFlightRequest{rank: rapid.IntRange(0, 3).Draw(t, "rank")}
			state := rapid.SampledFrom([]requestState{queued, dispatched, unevictable}).Draw(t, "state")
			request.state = func() requestState { return state }
			request.evict = func() { checkEviction(t, inFlight, request) }
			acquired := limiter.acquire(request)
			if acquired {
				inFlight[request] = state
			} else {
				checkNoLowerTier(t, inFlight, request.rank)
			}
			if limiter.size() != len(inFlight) || len(inFlight) > limit {
				t.Fatalf("step %d: %d requests in flight, want %d, limit %d", step, limiter.size(), len(inFlight), limit)
			}
		}
	})
}

// checkEviction checks that no request that is cheaper to evict is left.
func checkEviction(t *rapid.T, inFlight map[*inFlightRequest]requestState, victim *inFlightRequest) {
	state := inFlight[victim]
	if state == unevictable {
		t.Fatal("an unevictable request was evicted")
	}
	for other, otherState := range inFlight {
		if otherState == unevictable {
			continue
		}
		if other.rank > victim.rank || (other.rank == victim.rank && otherState < state) {
			t.Fatalf("rank %d, state %d was evicted before rank %d, state %d", victim.rank, state, other.rank, otherState)
		}
	}
	delete(inFlight, victim)
}

func checkNoLowerTier(t *rapid.T, inFlight map[*inFlightRequest]requestState, rank int) {
	for other, state := range inFlight {
		if other.rank > rank && state != unevictable {
			t.Fatalf("rank %d was refused although rank %d could be evicted", rank, other.rank)
		}
	}
}

func TestFullHostEvictsLowestTier(t *testing.T) {
	f := newFixture(t, func(o *Options) { o.Limits = config.Limits{MaxRequests: 1} })
	f.admitter.block = true
	first := make(chan string, 1)
	go func() {
		_, body := do(t, f.request("POST", "/v1/chat/completions", chatBody))
		first <- body
	}()
	eventually(t, "the host is full", func() bool { return len(f.admitter.received()) == 1 })

	response, body := do(t, f.request("POST", "/v1/chat/completions", chatBody))
	e := errorOf(t, body)
	if response.StatusCode != http.StatusTooManyRequests || e.Code != outcome.EntryOverloaded || e.Outcome != outcome.NotRun {
		t.Errorf("same tier: status %d, error %+v", response.StatusCode, e)
	}

	go func() {
		_, _ = http.DefaultClient.Do(f.request("POST", "/v1/chat/completions", chatBody, headerTier, "gold"))
	}()
	if e := errorOf(t, <-first); e.Code != outcome.EntryOverloaded || e.Outcome != outcome.NotRun || e.RetryAfterMs == 0 {
		t.Errorf("the evicted request got %+v", e)
	}
	eventually(t, "the request of the higher tier is admitted", func() bool {
		requests := f.admitter.received()
		return len(requests) == 2 && requests[1].Tier == "gold"
	})
	f.entry.cancelExecutions(stopDraining())
}

func TestConnectionLimit(t *testing.T) {
	const limit = 3
	connections := newConnections(limit)
	var conns []*closableConn
	for i := range 6 {
		conn := &closableConn{name: fmt.Sprint(i)}
		conns = append(conns, conn)
		connections.trackState(conn, http.StateNew)
		if i == 0 || i == 2 {
			connections.trackState(conn, http.StateActive)
		}
	}
	for i, conn := range conns {
		// The first and third connections carry requests; the last is the newest.
		if open := i == 0 || i == 2 || i == 5; conn.closed == open {
			t.Errorf("connection %d is closed: %v", i, conn.closed)
		}
	}
}
