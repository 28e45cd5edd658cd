package entry

import (
	"fmt"
	"net/http"
	"testing"

	"pgregory.net/rapid"

	"github.com/cornelyard/cornelyard/config"
	"github.com/cornelyard/cornelyard/outcome"
)

// TestOccupancyGivesUpLowestTiersFirst compares the occupancy with a plain list
// over random arrivals and departures.
func TestOccupancyGivesUpLowestTiersFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 6).Draw(t, "limit")
		places := newInFlightLimiter(limit)
		held := make(map[*inFlightRequest]requestState)
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(held) > 0 && rapid.IntRange(0, 3).Draw(t, "leave") == 0 {
				for who := range held {
					places.release(who)
					places.release(who)
					delete(held, who)
					break
				}
			}
			newcomer := &inFlightRequest{rank: rapid.IntRange(0, 3).Draw(t, "rank")}
			state := rapid.SampledFrom([]requestState{queued, dispatched, unevictable}).Draw(t, "state")
			newcomer.state = func() requestState { return state }
			newcomer.evict = func() { checkEviction(t, held, newcomer) }
			entered := places.acquire(newcomer)
			if entered {
				held[newcomer] = state
			} else {
				checkNoLowerTier(t, held, newcomer.rank)
			}
			if places.size() != len(held) || len(held) > limit {
				t.Fatalf("step %d: %d places in use, %d held, limit %d", step, places.size(), len(held), limit)
			}
		}
	})
}

// checkEviction checks that no cheaper victim was left.
func checkEviction(t *rapid.T, held map[*inFlightRequest]requestState, victim *inFlightRequest) {
	state := held[victim]
	if state == unevictable {
		t.Fatal("a call that can't be stopped was given up")
	}
	for other, otherState := range held {
		if otherState == unevictable {
			continue
		}
		if other.rank > victim.rank || (other.rank == victim.rank && otherState < state) {
			t.Fatalf("rank %d, state %d was given up before rank %d, state %d", victim.rank, state, other.rank, otherState)
		}
	}
	delete(held, victim)
}

func checkNoLowerTier(t *rapid.T, held map[*inFlightRequest]requestState, rank int) {
	for other, state := range held {
		if other.rank > rank && state != unevictable {
			t.Fatalf("rank %d was refused while rank %d is held", rank, other.rank)
		}
	}
}

func TestFullHostShedsTheLowestTier(t *testing.T) {
	b := newFixture(t, func(o *Options) { o.Limits = config.Limits{MaxRequests: 1} })
	b.admitter.block = true
	first := make(chan string, 1)
	go func() {
		_, body := do(t, b.request("POST", "/v1/chat/completions", chatBody))
		first <- body
	}()
	eventually(t, "the host is full", func() bool { return len(b.admitter.received()) == 1 })

	response, body := do(t, b.request("POST", "/v1/chat/completions", chatBody))
	e := errorOf(t, body)
	if response.StatusCode != http.StatusTooManyRequests || e.Code != outcome.EntryOverloaded || e.Outcome != outcome.NotRun {
		t.Errorf("same tier: status %d, error %+v", response.StatusCode, e)
	}

	go func() {
		_, _ = http.DefaultClient.Do(b.request("POST", "/v1/chat/completions", chatBody, headerTier, "gold"))
	}()
	if e := errorOf(t, <-first); e.Code != outcome.EntryOverloaded || e.Outcome != outcome.NotRun || e.RetryAfterMs == 0 {
		t.Errorf("the lower tier is told %+v", e)
	}
	eventually(t, "the higher tier has the place", func() bool {
		asked := b.admitter.received()
		return len(asked) == 2 && asked[1].Tier == "gold"
	})
	b.entry.cancelExecutions(stopDraining())
}

func TestConnectionsAreBounded(t *testing.T) {
	const limit = 3
	tracked := newConnections(limit)
	var conns []*closableConn
	for i := range 6 {
		conn := &closableConn{name: fmt.Sprint(i)}
		conns = append(conns, conn)
		tracked.trackState(conn, http.StateNew)
		if i == 0 || i == 2 {
			tracked.trackState(conn, http.StateActive)
		}
	}
	for i, conn := range conns {
		// The first and third carry requests, the last is the newest.
		if open := i == 0 || i == 2 || i == 5; conn.closed == open {
			t.Errorf("connection %d is closed: %v", i, conn.closed)
		}
	}
}
