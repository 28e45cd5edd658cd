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

const waitLimit = 20 * time.Second

// startClaims runs Claims of one host until the test ends.
func startClaims(t *testing.T, table *fakeTable, host ident.Host, change func(*Options)) *Manager {
	t.Helper()
	options := Options{
		Table:        table,
		Objects:      fakeObjects{table},
		Host:         host,
		Incarnation:  1,
		ClaimTimeout: time.Second,
		StopTimeout:  waitLimit,
	}
	if change != nil {
		change(&options)
	}
	claims := New(options)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- claims.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-stopped; err != nil {
			t.Error(err)
		}
	})
	return claims
}

func request(key, body string) Request {
	return Request{ID: "r-1", Team: "bureau", Key: key, Digest: NewDigest("POST", "filing", "/submit", "", []byte(body))}
}

func mustClaim(t *testing.T, c *Manager, r Request) *Claim {
	t.Helper()
	finding := c.Claim(context.Background(), r)
	if finding.Claim == nil {
		t.Fatalf("not claimed: %+v", finding.Refusal)
	}
	return finding.Claim
}

func checkRefusal(t *testing.T, f Result, reason outcome.Reason, result outcome.Outcome) {
	t.Helper()
	if f.Claim != nil || f.Refusal == nil {
		t.Fatalf("finding is %+v, not %s", f, reason)
	}
	if f.Refusal.Reason != reason || f.Refusal.Outcome != result {
		t.Errorf("refusal is %v, not %s %s", f.Refusal, result, reason)
	}
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitLimit); time.Now().Before(deadline); time.Sleep(2 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("not within %s: %s", waitLimit, what)
}

func (f *fakeTable) rowCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.rows)
}

func settled(c *Manager, r Request) func() bool {
	return func() bool { return c.local.get(r.rowKey()) == nil }
}

func TestSecondClaimOfAKey(t *testing.T) {
	cases := []struct {
		name   string
		settle func(c *Claim)
		body   string
		alive  bool
		reason outcome.Reason
		result outcome.Outcome
		// kept says that the resend gets the answer, free that it may run.
		kept, free bool
	}{
		{name: "in progress", alive: true, reason: outcome.ClaimHeld, result: outcome.Unknown},
		{name: "claimer died", reason: outcome.ClaimUnknown, result: outcome.Unknown},
		{name: "other body", alive: true, body: "other", reason: outcome.KeyConflict, result: outcome.NotRun},
		{name: "completed", settle: func(c *Claim) { c.Complete(&StoredResponse{Status: 201, Body: []byte("done")}) }, kept: true},
		{name: "completed, too large", settle: func(c *Claim) { c.Complete(nil) }, reason: outcome.ClaimUnknown, result: outcome.Completed},
		{name: "lost", settle: (*Claim).MarkUnknown, reason: outcome.ClaimUnknown, result: outcome.Unknown},
		{name: "released", settle: (*Claim).Release, free: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := newFakeTable()
			first := startClaims(t, table, "host-1", nil)
			second := startClaims(t, table, "host-2", func(o *Options) {
				o.Alive = func(ident.Host, uint64) bool { return c.alive }
			})
			held := mustClaim(t, first, request("k", "body"))
			if c.settle != nil {
				c.settle(held)
				eventually(t, "the claim is settled", settled(first, request("k", "body")))
			}
			body := "body"
			if c.body != "" {
				body = c.body
			}
			// Find comes first: after Claim it would wait for the claimed call.
			for i, ask := range []func(context.Context, Request) Result{second.Lookup, second.Claim} {
				finding := ask(context.Background(), request("k", body))
				name := []string{"find", "claim"}[i]
				switch {
				case c.kept:
					if finding.Response == nil || string(finding.Response.Body) != "done" || finding.Response.Status != 201 {
						t.Errorf("%s: finding is %+v", name, finding)
					}
				case c.free:
					if !finding.Unclaimed() && finding.Claim == nil {
						t.Errorf("%s: the key isn't free: %v", name, finding.Refusal)
					}
				default:
					checkRefusal(t, finding, c.reason, c.result)
				}
			}
		})
	}
}

func TestUnclearClaims(t *testing.T) {
	cases := []struct {
		name   string
		faults []fault
		change func(*fakeTable)
		claims bool
	}{
		{name: "confirmation lost", faults: []fault{faultLostConfirmation}, claims: true},
		{name: "write lost", faults: []fault{faultLostWrite}, claims: true},
		{name: "write lost, then confirmation lost", faults: []fault{faultLostWrite, faultLostConfirmation}, claims: true},
		{name: "down", faults: []fault{faultDown}},
		{name: "confirmation lost and not readable", faults: []fault{faultLostConfirmation}, change: func(f *fakeTable) {
			f.readsDown, f.faults = true, []fault{faultLostConfirmation, faultDown, faultDown, faultDown, faultDown, faultDown, faultDown, faultDown, faultDown}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := newFakeTable()
			table.faults = c.faults
			if c.change != nil {
				c.change(table)
			}
			claims := startClaims(t, table, "host-1", func(o *Options) { o.ClaimTimeout = 200 * time.Millisecond })
			finding := claims.Claim(context.Background(), request("k", "body"))
			if c.claims {
				if finding.Claim == nil || table.rowCount() != 1 {
					t.Fatalf("finding %+v, %d rows", finding.Refusal, table.rowCount())
				}
				finding.Claim.Release()
				eventually(t, "the row is gone", func() bool { return table.rowCount() == 0 })
				return
			}
			checkRefusal(t, finding, outcome.ClaimUnavailable, outcome.NotRun)
			if finding.Refusal.RetryAfter == 0 {
				t.Error("the caller isn't told when to come back")
			}
			table.change(func() { table.readsDown = false })
			eventually(t, "no row is left behind", func() bool { return settled(claims, request("k", "body"))() && table.rowCount() == 0 })
		})
	}
}

// TestReleaseTouchesOnlyOwnRows leaves an unconfirmed claim behind and lets
// another host claim the key before the release.
func TestReleaseTouchesOnlyOwnRows(t *testing.T) {
	table := newFakeTable()
	table.readsDown = true
	table.faults = []fault{faultLostWrite}
	first := startClaims(t, table, "host-1", func(o *Options) { o.ClaimTimeout = 10 * time.Millisecond })
	checkRefusal(t, first.Claim(context.Background(), request("k", "body")), outcome.ClaimUnavailable, outcome.NotRun)
	other := startClaims(t, table, "host-2", nil)
	mustClaim(t, other, request("k", "body"))
	table.change(func() { table.readsDown = false })
	eventually(t, "the release ends", settled(first, request("k", "body")))
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
	eventually(t, "the claim is settled", settled(frozen, request("k", "body")))
	finding := other.Lookup(context.Background(), request("k", "body"))
	if finding.Response == nil || string(finding.Response.Body) != "late" {
		t.Errorf("finding is %+v", finding)
	}
}

func TestResendOnTheSameHostWaitsForTheAnswer(t *testing.T) {
	table := newFakeTable()
	claims := startClaims(t, table, "host-1", nil)
	held := mustClaim(t, claims, request("k", "body"))
	found := make(chan Result, 1)
	go func() { found <- claims.Lookup(context.Background(), request("k", "body")) }()
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	checkRefusal(t, claims.Lookup(ended, request("k", "body")), outcome.ClaimHeld, outcome.Unknown)
	checkRefusal(t, claims.Lookup(context.Background(), request("k", "other")), outcome.KeyConflict, outcome.NotRun)
	held.Complete(&StoredResponse{Status: 200, Body: []byte("done")})
	if finding := <-found; finding.Response == nil || string(finding.Response.Body) != "done" {
		t.Errorf("finding is %+v", finding)
	}
}

// TestOutcomeSurvivesAnOutage completes a claim while the platform is down; the
// host answers resends meanwhile.
func TestOutcomeSurvivesAnOutage(t *testing.T) {
	table := newFakeTable()
	claims := startClaims(t, table, "host-1", nil)
	held := mustClaim(t, claims, request("k", "body"))
	table.change(func() { table.commitsDown, table.readsDown = true, true })
	held.Complete(&StoredResponse{Status: 200, Body: []byte("done")})
	if finding := claims.Lookup(context.Background(), request("k", "body")); finding.Response == nil {
		t.Errorf("finding during the outage is %+v", finding)
	}
	checkRefusal(t, claims.Lookup(context.Background(), request("new", "body")), outcome.ClaimUnavailable, outcome.NotRun)
	table.change(func() { table.commitsDown, table.readsDown = false, false })
	eventually(t, "the claim is settled", settled(claims, request("k", "body")))
	other := startClaims(t, table, "host-2", nil)
	if finding := other.Lookup(context.Background(), request("k", "body")); finding.Response == nil {
		t.Errorf("finding after the outage is %+v", finding)
	}
}

func TestManyHostsClaimOneKey(t *testing.T) {
	const hosts = 8
	table := newFakeTable()
	var won sync.Map
	var asking sync.WaitGroup
	for i := range hosts {
		claims := startClaims(t, table, ident.Host(fmt.Sprintf("host-%d", i)), nil)
		asking.Go(func() {
			if claims.Claim(context.Background(), request("k", "body")).Claim != nil {
				won.Store(i, true)
			}
		})
	}
	asking.Wait()
	winners := 0
	won.Range(func(any, any) bool {
		winners++
		return true
	})
	if winners != 1 {
		t.Errorf("%d hosts hold the claim", winners)
	}
}

// TestClaimsShareTransactions holds the first commit until many claims wait,
// one of which conflicts.
func TestClaimsShareTransactions(t *testing.T) {
	const claimed = 50
	table := newFakeTable()
	other := startClaims(t, table, "host-2", nil)
	mustClaim(t, other, request("key-7", "body"))
	hold := make(chan struct{})
	table.change(func() { table.hold, table.commits = hold, nil })
	claims := startClaims(t, table, "host-1", func(o *Options) { o.ClaimTimeout, o.CommitTimeout = waitLimit, waitLimit })
	findings := make([]Result, claimed)
	var asking sync.WaitGroup
	for i := range claimed {
		asking.Go(func() {
			findings[i] = claims.Claim(context.Background(), request(fmt.Sprintf("key-%d", i), "body"))
		})
	}
	eventually(t, "the claims wait", func() bool {
		claims.local.mu.Lock()
		defer claims.local.mu.Unlock()
		return len(claims.local.byKey) == claimed && len(claims.committer.queue) >= claimed-maxBatch
	})
	close(hold)
	asking.Wait()
	for i, finding := range findings {
		if (finding.Claim != nil) != (i != 7) {
			t.Errorf("claim %d: %+v", i, finding.Refusal)
		}
	}
	table.change(func() {
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
	hold := make(chan struct{})
	table.hold = hold
	claims := startClaims(t, table, "host-1", func(o *Options) { o.CommitTimeout = waitLimit })
	ctx, cancel := context.WithCancelCause(context.Background())
	result := make(chan Result, 1)
	go func() { result <- claims.Claim(ctx, request("k", "body")) }()
	eventually(t, "the claim is being written", func() bool { return claims.local.get(request("k", "body").rowKey()) != nil })
	cancel(errors.New("the caller went away"))
	if finding := <-result; finding.Claim != nil {
		t.Fatal("a cancelled claim was granted")
	}
	close(hold)
	eventually(t, "the row is released", func() bool {
		return settled(claims, request("k", "body"))() && table.rowCount() == 0
	})
}

// TestClaimsEndWhileTheyStop ends claims at the moment Run ends; under -race this
// shows whether the two are in step.
func TestClaimsEndWhileTheyStop(t *testing.T) {
	for range 50 {
		claims := New(Options{Table: newFakeTable(), Objects: fakeObjects{newFakeTable()}, Host: "host-1"})
		ctx, cancel := context.WithCancel(context.Background())
		stopped := make(chan error, 1)
		go func() { stopped <- claims.Run(ctx) }()
		held := mustClaim(t, claims, request("k", "body"))
		go cancel()
		held.MarkUnknown()
		if err := <-stopped; err != nil {
			t.Fatal(err)
		}
	}
}
