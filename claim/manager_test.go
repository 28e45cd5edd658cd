package claim

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/storage"
)

const testTimeout = 20 * time.Second

// startManager runs the Manager of one host until the test ends.
func startManager(t *testing.T, table *fakeTable, host ident.Host, update func(*Options)) *Manager {
	t.Helper()
	options := Options{
		Table:        table,
		Objects:      fakeObjects{table},
		Host:         host,
		Incarnation:  1,
		ClaimTimeout: time.Second,
		StopTimeout:  testTimeout,
	}
	if update != nil {
		update(&options)
	}
	manager := New(options)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- manager.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-stopped; err != nil {
			t.Error(err)
		}
	})
	return manager
}

func request(key, body string) Request {
	return Request{ID: "r-1", Team: "bureau", Key: key, Digest: NewDigest("POST", "filing", "/submit", "", []byte(body))}
}

func mustClaim(t *testing.T, m *Manager, r Request) *Claim {
	t.Helper()
	result := m.Claim(context.Background(), r)
	if result.Claim == nil {
		t.Fatalf("key was not claimed: %+v", result.Refusal)
	}
	return result.Claim
}

func checkRefusal(t *testing.T, r Result, wantReason outcome.Reason, wantOutcome outcome.Outcome) {
	t.Helper()
	if r.Claim != nil || r.Refusal == nil {
		t.Fatalf("got result %+v, want a refusal with reason %s", r, wantReason)
	}
	if r.Refusal.Reason != wantReason || r.Refusal.Outcome != wantOutcome {
		t.Errorf("refusal = %v, want outcome %s and reason %s", r.Refusal, wantOutcome, wantReason)
	}
}

func waitFor(t *testing.T, condition string, met func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(2 * time.Millisecond) {
		if met() {
			return
		}
	}
	t.Fatalf("condition not met within %s: %s", testTimeout, condition)
}

func (f *fakeTable) rowCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.rows)
}

func finalized(m *Manager, r Request) func() bool {
	return func() bool { return m.local.get(r.rowKey()) == nil }
}

func TestSecondClaimOfKey(t *testing.T) {
	cases := []struct {
		name        string
		finalize    func(c *Claim)
		body        string
		alive       bool
		wantReason  outcome.Reason
		wantOutcome outcome.Outcome
		// wantStored: the repeated request gets the stored response. wantUnclaimed: it may run.
		wantStored, wantUnclaimed bool
	}{
		{name: "in progress", alive: true, wantReason: outcome.ClaimHeld, wantOutcome: outcome.Unknown},
		{name: "holder is dead", wantReason: outcome.ClaimUnknown, wantOutcome: outcome.Unknown},
		{name: "different body", alive: true, body: "other", wantReason: outcome.KeyConflict, wantOutcome: outcome.NotRun},
		{name: "completed", finalize: func(c *Claim) { c.Complete(&StoredResponse{Status: 201, Body: []byte("done")}) }, wantStored: true},
		{name: "completed, response too large", finalize: func(c *Claim) { c.Complete(nil) }, wantReason: outcome.ClaimUnknown, wantOutcome: outcome.Completed},
		{name: "marked unknown", finalize: (*Claim).MarkUnknown, wantReason: outcome.ClaimUnknown, wantOutcome: outcome.Unknown},
		{name: "released", finalize: (*Claim).Release, wantUnclaimed: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := newFakeTable()
			first := startManager(t, table, "host-1", nil)
			second := startManager(t, table, "host-2", func(o *Options) {
				o.Alive = func(Holder) bool { return c.alive }
			})
			held := mustClaim(t, first, request("k", "body"))
			if c.finalize != nil {
				c.finalize(held)
				waitFor(t, "the final state of the claim is written", finalized(first, request("k", "body")))
			}
			body := "body"
			if c.body != "" {
				body = c.body
			}
			// Lookup runs first: after Claim it would wait for the claimed request.
			for i, call := range []func(context.Context, Request) Result{second.Lookup, second.Claim} {
				result := call(context.Background(), request("k", body))
				name := []string{"lookup", "claim"}[i]
				switch {
				case c.wantStored:
					if result.Response == nil || string(result.Response.Body) != "done" || result.Response.Status != 201 {
						t.Errorf("%s: got %+v, want the stored response", name, result)
					}
				case c.wantUnclaimed:
					if !result.Unclaimed() && result.Claim == nil {
						t.Errorf("%s: key is still claimed: %v", name, result.Refusal)
					}
				default:
					checkRefusal(t, result, c.wantReason, c.wantOutcome)
				}
			}
		})
	}
}

func TestUnconfirmedClaims(t *testing.T) {
	cases := []struct {
		name      string
		faults    []fault
		update    func(*fakeTable)
		wantClaim bool
	}{
		{name: "acknowledgement lost", faults: []fault{faultLostAck}, wantClaim: true},
		{name: "write lost", faults: []fault{faultLostWrite}, wantClaim: true},
		{name: "write lost, then acknowledgement lost", faults: []fault{faultLostWrite, faultLostAck}, wantClaim: true},
		{name: "platform unavailable", faults: []fault{faultUnavailable}},
		{name: "acknowledgement lost and reads fail", faults: []fault{faultLostAck}, update: func(f *fakeTable) {
			f.failReads, f.faults = true, []fault{faultLostAck, faultUnavailable, faultUnavailable, faultUnavailable, faultUnavailable, faultUnavailable, faultUnavailable, faultUnavailable, faultUnavailable}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := newFakeTable()
			table.faults = c.faults
			if c.update != nil {
				c.update(table)
			}
			manager := startManager(t, table, "host-1", func(o *Options) { o.ClaimTimeout = 200 * time.Millisecond })
			result := manager.Claim(context.Background(), request("k", "body"))
			if c.wantClaim {
				if result.Claim == nil || table.rowCount() != 1 {
					t.Fatalf("got refusal %+v and %d rows, want a claim and one row", result.Refusal, table.rowCount())
				}
				result.Claim.Release()
				waitFor(t, "the row is deleted", func() bool { return table.rowCount() == 0 })
				return
			}
			checkRefusal(t, result, outcome.ClaimUnavailable, outcome.NotRun)
			if result.Refusal.RetryAfter == 0 {
				t.Error("refusal has no retry delay")
			}
			table.update(func() { table.failReads = false })
			waitFor(t, "the unconfirmed row is released", func() bool { return finalized(manager, request("k", "body"))() && table.rowCount() == 0 })
		})
	}
}

// TestReleaseDeletesOnlyOwnRow guards against deleting the claim of another host. The
// first host's insertion is unconfirmed, and the other host claims the key before the
// first one releases it.
func TestReleaseDeletesOnlyOwnRow(t *testing.T) {
	table := newFakeTable()
	table.failReads = true
	table.faults = []fault{faultLostWrite}
	first := startManager(t, table, "host-1", func(o *Options) { o.ClaimTimeout = 10 * time.Millisecond })
	checkRefusal(t, first.Claim(context.Background(), request("k", "body")), outcome.ClaimUnavailable, outcome.NotRun)
	other := startManager(t, table, "host-2", nil)
	mustClaim(t, other, request("k", "body"))
	table.update(func() { table.failReads = false })
	waitFor(t, "the release is finished", finalized(first, request("k", "body")))
	if table.rowCount() != 1 {
		t.Error("the release deleted another host's claim")
	}
}

// A row must not be written for a request that is being refused.
func TestClaimIsNotInsertedAgainAtItsTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newFakeTable()
		table.failReads = true
		table.faults = []fault{faultLostWrite}
		const claimTimeout = readBackInitialBackoff / 2
		manager := startManager(t, table, "host-1", func(o *Options) { o.ClaimTimeout = claimTimeout })
		started := time.Now()
		checkRefusal(t, manager.Claim(context.Background(), request("k", "body")), outcome.ClaimUnavailable, outcome.NotRun)
		if waited := time.Since(started); waited >= claimTimeout {
			t.Errorf("refused after %s, want it before the timeout of %s", waited, claimTimeout)
		}
		table.update(func() { table.failReads = false })
		waitFor(t, "the release is finished", finalized(manager, request("k", "body")))
	})
}

// TestClaimIsNotTakenOverFromDeadHost guards against running a request twice. The
// holder is considered dead while it is only paused, and completes the request after
// it resumes.
func TestClaimIsNotTakenOverFromDeadHost(t *testing.T) {
	table := newFakeTable()
	paused := startManager(t, table, "host-1", nil)
	held := mustClaim(t, paused, request("k", "body"))
	other := startManager(t, table, "host-2", func(o *Options) {
		o.Alive = func(Holder) bool { return false }
	})
	for range 3 {
		checkRefusal(t, other.Claim(context.Background(), request("k", "body")), outcome.ClaimUnknown, outcome.Unknown)
	}
	held.Complete(&StoredResponse{Status: 200, Body: []byte("late")})
	waitFor(t, "the final state of the claim is written", finalized(paused, request("k", "body")))
	result := other.Lookup(context.Background(), request("k", "body"))
	if result.Response == nil || string(result.Response.Body) != "late" {
		t.Errorf("got %+v, want the stored response", result)
	}
}

func TestRepeatedRequestOnSameHostWaitsForResponse(t *testing.T) {
	table := newFakeTable()
	manager := startManager(t, table, "host-1", nil)
	held := mustClaim(t, manager, request("k", "body"))
	results := make(chan Result, 1)
	go func() { results <- manager.Lookup(context.Background(), request("k", "body")) }()
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	checkRefusal(t, manager.Lookup(ended, request("k", "body")), outcome.ClaimHeld, outcome.Unknown)
	checkRefusal(t, manager.Lookup(context.Background(), request("k", "other")), outcome.KeyConflict, outcome.NotRun)
	held.Complete(&StoredResponse{Status: 200, Body: []byte("done")})
	if result := <-results; result.Response == nil || string(result.Response.Body) != "done" {
		t.Errorf("got %+v, want the stored response", result)
	}
}

// TestOutcomeSurvivesOutage completes a claim while the platform is unavailable. The
// host responds to repeated requests meanwhile and writes the outcome afterwards.
func TestOutcomeSurvivesOutage(t *testing.T) {
	table := newFakeTable()
	manager := startManager(t, table, "host-1", nil)
	held := mustClaim(t, manager, request("k", "body"))
	table.update(func() { table.failCommits, table.failReads = true, true })
	held.Complete(&StoredResponse{Status: 200, Body: []byte("done")})
	if result := manager.Lookup(context.Background(), request("k", "body")); result.Response == nil {
		t.Errorf("lookup during the outage: got %+v, want the stored response", result)
	}
	checkRefusal(t, manager.Lookup(context.Background(), request("new", "body")), outcome.ClaimUnavailable, outcome.NotRun)
	table.update(func() { table.failCommits, table.failReads = false, false })
	waitFor(t, "the final state of the claim is written", finalized(manager, request("k", "body")))
	other := startManager(t, table, "host-2", nil)
	if result := other.Lookup(context.Background(), request("k", "body")); result.Response == nil {
		t.Errorf("lookup after the outage: got %+v, want the stored response", result)
	}
}

func TestOnlyOneHostClaimsKey(t *testing.T) {
	const hosts = 8
	table := newFakeTable()
	var winners sync.Map
	var callers sync.WaitGroup
	for i := range hosts {
		manager := startManager(t, table, ident.Host(fmt.Sprintf("host-%d", i)), nil)
		callers.Go(func() {
			if manager.Claim(context.Background(), request("k", "body")).Claim != nil {
				winners.Store(i, true)
			}
		})
	}
	callers.Wait()
	winnerCount := 0
	winners.Range(func(any, any) bool {
		winnerCount++
		return true
	})
	if winnerCount != 1 {
		t.Errorf("%d hosts hold the claim, want 1", winnerCount)
	}
}

// TestClaimsAreBatched guards against one transaction per claim. It blocks the first
// commit until many claims are queued, one of which conflicts.
func TestClaimsAreBatched(t *testing.T) {
	const claimCount = 50
	table := newFakeTable()
	other := startManager(t, table, "host-2", nil)
	mustClaim(t, other, request("key-7", "body"))
	block := make(chan struct{})
	table.update(func() { table.block, table.commits = block, nil })
	manager := startManager(t, table, "host-1", func(o *Options) { o.ClaimTimeout, o.CommitTimeout = testTimeout, testTimeout })
	results := make([]Result, claimCount)
	var callers sync.WaitGroup
	for i := range claimCount {
		callers.Go(func() {
			results[i] = manager.Claim(context.Background(), request(fmt.Sprintf("key-%d", i), "body"))
		})
	}
	waitFor(t, "the claims are queued", func() bool {
		manager.local.mu.Lock()
		defer manager.local.mu.Unlock()
		return len(manager.local.byKey) == claimCount && len(manager.committer.queue) >= claimCount-maxBatch
	})
	close(block)
	callers.Wait()
	for i, result := range results {
		if (result.Claim != nil) != (i != 7) {
			t.Errorf("claim %d: unexpected result, refusal %+v", i, result.Refusal)
		}
	}
	table.update(func() {
		if n := len(table.commits); n > claimCount/2 {
			t.Errorf("%d claims took %d transactions, want at most half as many", claimCount, n)
		}
	})
}

func TestConflictAffectsOnlyItsOwnWrite(t *testing.T) {
	table := newFakeTable()
	table.rows["b"] = storage.Row{Key: "b", Revision: 5, Value: []byte("x")}
	committer := newCommitter(table, time.Second)
	batch := []*write{newWrite("a", 0, []byte("1")), newWrite("b", 0, []byte("2")), newWrite("c", 0, []byte("3"))}
	committer.commit(context.Background(), batch)
	for i, w := range batch {
		result := <-w.done
		if (result.conflict != nil) != (i == 1) || result.err != nil {
			t.Errorf("write %s: unexpected result %+v", w.key, result)
		}
	}
}

func TestCancelledClaimIsReleased(t *testing.T) {
	table := newFakeTable()
	block := make(chan struct{})
	table.block = block
	manager := startManager(t, table, "host-1", func(o *Options) { o.CommitTimeout = testTimeout })
	ctx, cancel := context.WithCancelCause(context.Background())
	results := make(chan Result, 1)
	go func() { results <- manager.Claim(ctx, request("k", "body")) }()
	waitFor(t, "the claim is being written", func() bool { return manager.local.get(request("k", "body").rowKey()) != nil })
	cancel(errors.New("the caller disconnected"))
	if result := <-results; result.Claim != nil {
		t.Fatal("a cancelled claim succeeded")
	}
	close(block)
	waitFor(t, "the row is released", func() bool {
		return finalized(manager, request("k", "body"))() && table.rowCount() == 0
	})
}

// TestClaimEndsWhileManagerStops guards against a data race between the end of a claim
// and the end of Run. The race detector reports it.
func TestClaimEndsWhileManagerStops(t *testing.T) {
	for range 50 {
		manager := New(Options{Table: newFakeTable(), Objects: fakeObjects{newFakeTable()}, Host: "host-1"})
		ctx, cancel := context.WithCancel(context.Background())
		stopped := make(chan error, 1)
		go func() { stopped <- manager.Run(ctx) }()
		held := mustClaim(t, manager, request("k", "body"))
		go cancel()
		held.MarkUnknown()
		if err := <-stopped; err != nil {
			t.Fatal(err)
		}
	}
}
