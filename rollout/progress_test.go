package rollout

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func progressGenerator() *rapid.Generator[Progress] {
	return rapid.Custom(func(t *rapid.T) Progress {
		return Progress{
			Order:      OrderID{Era: rapid.Uint64Range(0, 1).Draw(t, "era"), Row: rapid.Uint64Range(0, 2).Draw(t, "row")},
			Version:    rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version"),
			Phase:      Phase(rapid.IntRange(0, 3).Draw(t, "phase")),
			Step:       rapid.IntRange(0, 2).Draw(t, "step"),
			ShareMilli: rapid.IntRange(0, 1).Draw(t, "share"),
			StartedMs:  rapid.Int64Range(0, 1).Draw(t, "started"),
		}
	})
}

// Guards against hosts that end with different progress because they received it in another
// sequence: the order must be total.
func TestNewerIsATotalOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := progressGenerator().Draw(t, "a"), progressGenerator().Draw(t, "b"), progressGenerator().Draw(t, "c")
		if a == b && a.Newer(b) || a != b && a.Newer(b) == b.Newer(a) {
			t.Fatalf("%+v and %+v have no order", a, b)
		}
		if a.Newer(b) && b.Newer(c) && !a.Newer(c) {
			t.Fatalf("not transitive: %+v, %+v, %+v", a, b, c)
		}
	})
}

// Guards against an older step or order that overrides a newer one, and against a rollback
// that overrides a completion that was stored.
func TestNewerFollowsOrderThenPhaseThenStep(t *testing.T) {
	sequence := []Progress{
		{Order: OrderID{Row: 1}, Phase: Completed, Step: 9},
		{Order: OrderID{Row: 2}, Phase: InProgress, Step: 1},
		{Order: OrderID{Row: 2}, Phase: InProgress, Step: 2},
		{Order: OrderID{Row: 2}, Phase: RolledBack, Step: 1},
		{Order: OrderID{Row: 2}, Phase: Completed, Step: 1},
		{Order: OrderID{Era: 1, Row: 1}, Phase: InProgress, Step: 1},
	}
	for i := range sequence {
		for j := range sequence {
			if got := sequence[i].Newer(sequence[j]); got != (i > j) {
				t.Errorf("%+v newer than %+v: got %v", sequence[i], sequence[j], got)
			}
		}
	}
}

// Guards against hosts that send requests to candidates without knowing how far the rollout
// is: before they know of it, after a suspension, and after a rollback.
func TestGateChoosesOldTargetsUnlessItKnowsTheProgress(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	inProgress := Progress{Order: OrderID{Row: 1}, Phase: InProgress, Step: 2, ShareMilli: 500}
	check := func(name string, g *Gate, later time.Duration, random float64, want Side) {
		t.Helper()
		if got := g.Choose(now.Add(later), random); got != want {
			t.Errorf("%s: got side %v, want %v", name, got, want)
		}
	}
	g := &Gate{}
	check("after a start", g, 0, 0, Old)
	g.Apply(now, inProgress)
	check("below the share", g, time.Second, 0.49, New)
	check("above the share", g, time.Second, 0.51, Old)
	check("after a suspension", g, 2001*time.Millisecond, 0, Old)
	older := inProgress
	older.Step = 1
	g.Apply(now.Add(2*time.Second), older)
	check("confirmed by an older step", g, 3*time.Second, 0, Old)
	g.Apply(now.Add(2*time.Second), inProgress)
	check("confirmed", g, 3*time.Second, 0, New)
	g.Block()
	check("blocked", g, 3*time.Second, 0, Old)
	second := Progress{Order: OrderID{Row: 2}, Phase: InProgress, Step: 1, ShareMilli: 500}
	g.Apply(now, second)
	check("second order", g, 0, 0, New)
	second.Phase, second.Step = RolledBack, 2
	g.Apply(now, second)
	check("rolled back", g, 0, 0, Old)
	third := Progress{Order: OrderID{Row: 3}, Phase: Completed, Step: 5, ShareMilli: 1000}
	g.Apply(now, third)
	g.Block()
	check("completed", g, time.Hour, 0.99, New)
}

// Guards against requests that are counted twice, or lost to the exposure, when senders
// report again or restart.
func TestEvidenceAddsNewestReportsOfAllProcesses(t *testing.T) {
	report := func(n int) Report { return Report{{Route: 1, Side: New}: {Dispatched: n}} }
	var e Evidence
	for _, r := range []struct {
		sender      string
		incarnation uint64
		n           int
	}{{"a", 1, 3}, {"a", 1, 5}, {"b", 1, 7}, {"a", 2, 1}, {"a", 1, 6}} {
		e.Record(r.sender, r.incarnation, report(r.n))
	}
	if got := e.Total().sum(New).Dispatched; got != 5+1+7 {
		t.Errorf("got %d dispatched, want 13", got)
	}
	e.Remove("a")
	if got := e.Total().sum(New).Dispatched; got != 7 {
		t.Errorf("got %d dispatched without a, want 7", got)
	}
}
