package claim

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/storage"
)

const testTimeout = 20 * time.Second

// startClaims runs Claims of one host until the test ends.
func startClaims(t *testing.T, table *fakeTable, host ident.Host, update func(*Options)) *Manager {
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

func mustClaim(t *testing.T, c *Manager, r Request) *Claim {
	t.Helper()
	result := c.Claim(context.Background(), r)
	if result.Claim == nil {
		t.Fatalf("not claimed: %+v", result.Refusal)
	}
	return result.Claim
}

func checkRefusal(t *testing.T, f Result, wantReason outcome.Reason, wantOutcome outcome.Outcome) {
	t.Helper()
	if f.Claim != nil || f.Refusal == nil {
		t.Fatalf("got result %+v, want a refusal with reason %s", f, wantReason)
	}
	if f.Refusal.Reason != wantReason || f.Refusal.Outcome != wantOutcome {
		t.Errorf("refusal = %v, want outcome %s and reason %s", f.Refusal, wantOutcome, wantReason)
	}
}

func waitFor(t *testing.T, condition string, met func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(2 * time.Millisecond) {
		if met() {
			return
		}
	}
	t.Fatalf("not within %s: %s", testTimeout, condition)
}

func (f *fakeTable) rowCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.rows)
}

func finalized(c *Manager, r Request) func() bool {
	return func() bool { return c.local.get(r.rowKey()) == nil }
}

func TestSecondClaimOfAKey(t *testing.T) {
	cases := []struct {
		name        string
		finalize    func(c *Claim)
		body        string
		alive       bool
		wantReason  outcome.Reason
		wantOutcome outcome.Outcome
		// wantStored: the resend gets the stored response. wantUnclaimed: it may run.
		wantStored, wantUnclaimed bool
	}{
		{name: "in progress", alive: true, wantReason: outcome.ClaimHeld, wantOutcome: outcome.Unknown},
		{name: "claimer died", wantReason: outcome.ClaimUnknown, wantOutcome: outcome.Unknown},
		{name: "other body", alive: true, body: "other", wantReason: outcome.KeyConflict, wantOutcome: outcome.NotRun},
		{name: "completed", finalize: func(c *Claim) { c.Complete(&StoredResponse{Status: 201, Body: []byte("done")}) }, wantStored: true},
		{name: "completed, too large", finalize: func(c *Claim) { c.Complete(nil) }, wantReason: outcome.ClaimUnknown, wantOutcome: outcome.Completed},
		{name: "lost", finalize: (*Claim).MarkUnknown, wantReason: outcome.ClaimUnknown, wantOutcome: outcome.Unknown},
		{name: "released", finalize: (*Claim).Release, wantUnclaimed: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := newFakeTable()
			first := startClaims(t, table, "host-1", nil)
			second := startClaims(t, table, "host-2", func(o *Options) {
				o.Alive = func(ident.Host, uint64) bool { return c.alive }
			})
			held := mustClaim(t, first, request("k", "body"))
			if c.finalize != nil {
				c.finalize(held)
				waitFor(t, "the claim is settled", finalized(first, request("k", "body")))
			}
			body := "body"
			if c.body != "" {
				body = c.body
			}
			// Find comes first: after Claim it would wait for the claimed call.
			for i, call := range []func(context.Context, Request) Result{second.Lookup, second.Claim} {
				result := call(context.Background(), request("k", body))
				name := []string{"find", "claim"}[i]
				switch {
				case c.wantStored:
					if result.Response == nil || string(result.Response.Body) != "done" || result.Response.Status != 201 {
						t.Errorf("%s: finding is %+v", name, result)
					}
				case c.wantUnclaimed:
					if !result.Unclaimed() && result.Claim == nil {
						t.Errorf("%s: the key isn't wantUnclaimed: %v", name, result.Refusal)
					}
				default:
					checkRefusal(t, result, c.wantReason, c.wantOutcome)
				}
			}
		})
	}
}

func TestUnclearClaims(t *testing.T) {
	cases := []struct {
		name      string
		faults    []fault
		update    func(*fakeTable)
		wantClaim bool
	}{
		{name: "confirmation lost", faults: []fault{faultLostAck}, wantClaim: true},
		{name: "write lost", faults: []fault{faultLostWrite}, wantClaim: true},
		{name: "write lost, then confirmation lost", faults: []fault{faultLostWrite, faultLostAck}, wantClaim: true},
		{name: "down", faults: []fault{faultUnavailable}},
		{name: "confirmation lost and not readable", faults: []fault{faultLostAck}, update: func(f *fakeTable) {
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
			manager := startClaims(t, table, "host-1", func(o *Options) { o.ClaimTimeout = 200 * time.Millisecond })
			result := manager.Claim(context.Background(), request("k", "body"))
			if c.wantClaim {
				if result.Claim == nil || table.rowCount() != 1 {
					t.Fatalf("finding %+v, %d rows", result.Refusal, table.rowCount())
				}
				result.Claim.Release()
				waitFor(t, "the row is gone", func() bool { return table.rowCount() == 0 })
				return
			}
			checkRefusal(t, result, outcome.ClaimUnavailable, outcome.NotRun)
			if result.Refusal.RetryAfter == 0 {
				t.Error("the caller isn't told when to come back")
			}
			table.update(func() { table.failReads = false })
			waitFor(t, "no row is left behind", func() bool { return finalized(manager, request("k", "body"))() && table.rowCount() == 0 })
		})
	}
}

// TestReleaseTouchesOnlyOwnRows leaves an unconfirmed claim behind and lets
// another host claim the key before the release.
func TestReleaseTouchesOnlyOwnRows(t *testing.T) {
	table := newFakeTable()
	table.failReads = true
	table.faults = []fault{faultLostWrite}
	first := startClaims(t, table, "host-1", func(o *Options) { o.ClaimTimeout = 10 * time.Millisecond })
	checkRefusal(t, first.Claim(context.Background(), request("k", "body")), outcome.ClaimUnavailable, outcome.NotRun)
	other := startClaims(t, table, "host-2", nil)
	mustClaim(t, other, request("k", "body"))
	table.update(func() { table.failReads = false })
	waitFor(t, "the release ends", finalized(first, request("k", "body")))
	if table.rowCount() != 1 {
		t.Error("the release deleted another host's claim")
	}
}

// TestFrozenClaimerIsNeverTakenOver freezes a claimer until everybody takes it
// for dead, and wakes it.
func TestFrozenClaimerIsNeverTakenOver(t *testing.T) {
	table := newFakeTable()
	frozen := startClaims(t, table, "host-1", nil)
	held := mustClaim(t, frozen, request("k", "body"))
	other := startClaims(t, table, "host-2", func(o *Options) {
		o.Alive = func(ident.Host, uint64) bool { return false }
	})
	for range 3 {
		checkRefusal(t, other.Claim(context.Background(), request("k", "body")), outcome.ClaimUnknown, outcome.Unknown)
	}
	held.Complete(&StoredResponse{Status: 200, Body: []byte("late")})
	waitFor(t, "the claim is settled", finalized(frozen, request("k", "body")))
	result := other.Lookup(context.Background(), request("k", "body"))
	if result.Response == nil || string(result.Response.Body) != "late" {
		t.Errorf("finding is %+v", result)
	}
}

func TestResendOnTheSameHostWaitsForTheAnswer(t *testing.T) {
	table := newFakeTable()
	manager := startClaims(t, table, "host-1", nil)
	held := mustClaim(t, manager, request("k", "body"))
	resultChan := make(chan Result, 1)
	go func() { resultChan <- manager.Lookup(context.Background(), request("k", "body")) }()
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	checkRefusal(t, manager.Lookup(ended, request("k", "body")), outcome.ClaimHeld, outcome.Unknown)
	checkRefusal(t, manager.Lookup(context.Background(), request("k", "other")), outcome.KeyConflict, outcome.NotRun)
	held.Complete(&StoredResponse{Status: 200, Body: []byte("done")})
	if result := <-resultChan; result.Response == nil || string(result.Response.Body) != "done" {
		t.Errorf("finding is %+v", result)
	}
}

// TestOutcomeSurvivesAnOutage completes a claim while the platform is down; the
// host answers resends meanwhile.
func TestOutcomeSurvivesAnOutage(t *testing.T) {
	table := newFakeTable()
	manager := startClaims(t, table, "host-1", nil)
	held := mustClaim(t, manager, request("k", "body"))
	table.update(func() { table.failCommits, table.failReads = true, true })
	held.Complete(&StoredResponse{Status: 200, Body: []byte("done")})
	if result := manager.Lookup(context.Background(), request("k", "body")); result.Response == nil {
		t.Errorf("finding during the outage is %+v", result)
	}
	checkRefusal(t, manager.Lookup(context.Background(), request("new", "body")), outcome.ClaimUnavailable, outcome.NotRun)
	table.update(func() { table.failCommits, table.failReads = false, false })
	waitFor(t, "the claim is settled", finalized(manager, request("k", "body")))
	other := startClaims(t, table, "host-2", nil)
	if result := other.Lookup(context.Background(), request("k", "body")); result.Response == nil {
		t.Errorf("finding after the outage is %+v", result)
	}
}

func TestManyHostsClaimOneKey(t *testing.T) {
	const hosts = 8
	table := newFakeTable()
	var winners sync.Map
	var callers sync.WaitGroup
	for i := range hosts {
		manager := startClaims(t, table, ident.Host(fmt.Sprintf("host-%d", i)), nil)
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
		t.Errorf("%d hosts hold the claim", winnerCount)
	}
}

// TestClaimsShareTransactions holds the first commit until many claims wait,
// one of which conflicts.
func TestClaimsShareTransactions(t *testing.T) {
	const claimed = 50
	table := newFakeTable()
	other := startClaims(t, table, "host-2", nil)
	mustClaim(t, other, request("key-7", "body"))
	block := make(chan struct{})
	table.update(func() { table.block, table.commits = block, nil })
	manager := startClaims(t, table, "host-1", func(o *Options) { o.ClaimTimeout, o.CommitTimeout = testTimeout, testTimeout })
	results := make([]Result, claimed)
	var callers sync.WaitGroup
	for i := range claimed {
		callers.Go(func() {
			results[i] = manager.Claim(context.Background(), request(fmt.Sprintf("key-%d", i), "body"))
		})
	}
	waitFor(t, "the claims wait", func() bool {
		manager.local.mu.Lock()
		defer manager.local.mu.Unlock()
		return len(manager.local.byKey) == claimed && len(manager.committer.queue) >= claimed-maxBatch
	})
	close(block)
	callers.Wait()
	for i, result := range results {
		if (result.Claim != nil) != (i != 7) {
			t.Errorf("claim %d: %+v", i, result.Refusal)
		}
	}
	table.update(func() {
		if n := len(table.commits); n > claimed/2 {
			t.Errorf("%d claims took %d transactions", claimed, n)
		}
	})
}

func TestConflictLeavesNeighboursAlone(t *testing.T) {
	table := newFakeTable()
	table.rows["b"] = storage.Row{Key: "b", Revision: 5, Value: []byte("x")}
	committer := newCommitter(table, time.Second)
	batch := []*write{newWrite("a", 0, []byte("1")), newWrite("b", 0, []byte("2")), newWrite("c", 0, []byte("3"))}
	committer.commit(context.Background(), batch)
	for i, w := range batch {
		result := <-w.done
		if (result.conflict != nil) != (i == 1) || result.err != nil {
			t.Errorf("write %s: %+v", w.key, result)
		}
	}
}

func TestCancelledClaimIsReleased(t *testing.T) {
	table := newFakeTable()
	block := make(chan struct{})
	table.block = block
	manager := startClaims(t, table, "host-1", func(o *Options) { o.CommitTimeout = testTimeout })
	ctx, cancel := context.WithCancelCause(context.Background())
	results := make(chan Result, 1)
	go func() { results <- manager.Claim(ctx, request("k", "body")) }()
	waitFor(t, "the claim is being written", func() bool { return manager.local.get(request("k", "body").rowKey()) != nil })
	cancel(errors.New("the caller went away"))
	if result := <-results; result.Claim != nil {
		t.Fatal("a cancelled claim was granted")
	}
	close(block)
	waitFor(t, "the row is released", func() bool {
		return finalized(manager, request("k", "body"))() && table.rowCount() == 0
	})
}

// TestClaimsEndWhileTheyStop ends claims at the moment Run ends; under -race this
// shows whether the two are in step.
func TestClaimsEndWhileTheyStop(t *testing.T) {
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
