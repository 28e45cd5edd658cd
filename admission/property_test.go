package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/settings"
)

// world is what entries and targets know; the scheduler's answers are held
// against it.
type world struct {
	scheduler *Scheduler
	config    Config
	now       time.Time
	count     int
	queued    map[ident.Request]Request
	serving   map[ident.Request]*served
	// finals counts the final answers of each request.
	finals map[ident.Request]int
}

// served is a request in service.
type served struct {
	request  Request
	target   ident.Target
	since    time.Time
	tokens   int
	stopping bool
}

const worldSlots = 2

func newWorld(policy settings.Policy) *world {
	config := testConfig(3, worldSlots)
	config.Pool.Policy = policy
	config.Pool.MaxQueue = 4
	return &world{
		scheduler: newTestScheduler(config),
		config:    config,
		now:       epoch,
		queued:    make(map[ident.Request]Request),
		serving:   make(map[ident.Request]*served),
		finals:    make(map[ident.Request]int),
	}
}

func (w *world) rank(r Request) int {
	return slices.IndexFunc(testTiers, func(tier settings.Tier) bool { return tier.Name == r.Tier })
}

// belowServed says whether a lower tier is queued, or served and not stopping.
func (w *world) belowServed(r Request) bool {
	for _, other := range w.queued {
		if w.rank(other) > w.rank(r) {
			return true
		}
	}
	for _, other := range w.serving {
		if w.rank(other.request) > w.rank(r) && !other.stopping {
			return true
		}
	}
	return false
}

// decide carries out the scheduler's actions and checks each of them.
func (w *world) decide(t *rapid.T) {
	for _, action := range w.scheduler.Decide(w.now) {
		switch a := action.(type) {
		case *Grant:
			w.granted(t, a)
		case *Refuse:
			w.refused(t, a)
		case *Forward:
			if a.Request.Forwarded {
				t.Fatalf("%s is forwarded a second time", a.Request.ID)
			}
			w.refused(t, &a.Refusal)
		case *Preempt:
			w.preempted(t, a)
		}
	}
	w.checkCounts(t)
}

func (w *world) granted(t *rapid.T, a *Grant) {
	r, ok := w.queued[a.Request.ID]
	if !ok {
		t.Fatalf("%s is granted but not queued", a.Request.ID)
	}
	if slices.Contains(r.ExcludedTargets, a.Target) {
		t.Fatalf("%s is granted %s, which it avoids", r.ID, a.Target)
	}
	target := w.target(a.Target)
	inService := 0
	for _, other := range w.serving {
		if other.target == a.Target {
			inService++
		}
	}
	if target == nil || target.Leaving || inService >= target.Slots {
		t.Fatalf("%s is granted %s, which has %d in service", r.ID, a.Target, inService)
	}
	delete(w.queued, r.ID)
	w.serving[r.ID] = &served{request: r, target: a.Target, since: w.now}
}

func (w *world) target(name ident.Target) *settings.Target {
	for i := range w.config.Targets {
		if w.config.Targets[i].Name == name {
			return &w.config.Targets[i]
		}
	}
	return nil
}

func (w *world) refused(t *rapid.T, a *Refuse) {
	r, ok := w.queued[a.Request.ID]
	if !ok {
		t.Fatalf("%s is refused but not queued", a.Request.ID)
	}
	if a.Reason == outcome.Shed && w.config.Pool.Policy == settings.PolicyPredictive && w.belowServed(r) {
		t.Fatalf("%s of tier %s is shed while a lower tier is queued or served", r.ID, r.Tier)
	}
	delete(w.queued, r.ID)
	w.finals[r.ID]++
}

func (w *world) preempted(t *rapid.T, a *Preempt) {
	victim, ok := w.serving[a.Request.ID]
	if !ok || victim.stopping {
		t.Fatalf("%s is preempted but not served", a.Request.ID)
	}
	victim.stopping = true
	for _, r := range w.queued {
		if w.rank(r) < w.rank(victim.request) {
			return
		}
	}
	t.Fatalf("%s is preempted for nobody of a higher tier", a.Request.ID)
}

// checkCounts compares the scheduler's counts with the world's.
func (w *world) checkCounts(t *rapid.T) {
	s := w.scheduler
	if len(s.queue) != len(w.queued) || len(s.running) != len(w.serving) {
		t.Fatalf("scheduler has %d queued and %d running, world %d and %d",
			len(s.queue), len(s.running), len(w.queued), len(w.serving))
	}
	needs := make(map[*queued]int)
	for _, target := range s.targets {
		pending, freeing := 0, 0
		for _, r := range target.running.items {
			if !r.prefilled {
				pending += r.computed
			}
			if r.preempted {
				freeing++
			}
			if r.beneficiary != nil {
				needs[r.beneficiary]++
			}
		}
		if target.InService != len(target.running.items) || target.freeing != freeing || target.PendingPrefill != pending {
			t.Fatalf("%s counts %d in service, %d freeing and %d pending, has %d, %d and %d", target.Name,
				target.InService, target.freeing, target.PendingPrefill, len(target.running.items), freeing, pending)
		}
	}
	for q, victims := range needs {
		if victims > 1 {
			t.Fatalf("%s has %d victims", q.request.ID, victims)
		}
	}
	if wake := s.NextWake(w.now); wake < 0 || wake > maxWake {
		t.Fatalf("next wake after %v", wake)
	}
}

func (w *world) arrive(t *rapid.T) {
	w.count++
	r := testRequest(fmt.Sprintf("r%d", w.count),
		rapid.SampledFrom([]string{"shops", "clerks", "office"}).Draw(t, "team"),
		string(rapid.SampledFrom(testTiers).Draw(t, "tier").Name))
	r.Entry = rapid.SampledFrom([]ident.Host{"host-1", "host-2"}).Draw(t, "entry")
	r.Arrived = w.now
	r.Deadline = w.now.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "deadline ms")) * time.Millisecond)
	r.PromptTokens = rapid.IntRange(0, 20_000).Draw(t, "prompt")
	r.MaxTokens = rapid.IntRange(0, 1000).Draw(t, "max tokens")
	r.NonIdempotent = rapid.Bool().Draw(t, "non-idempotent")
	r.Forwarded = rapid.Bool().Draw(t, "forwarded")
	r.Digest = Digest(rapid.IntRange(0, 30).Draw(t, "digest"))
	w.enqueue(r)
	w.decide(t)
}

func (w *world) enqueue(r Request) {
	w.queued[r.ID] = r
	w.scheduler.Enqueue(w.now, r)
}

// pickServed draws one request in service.
func (w *world) pickServed(t *rapid.T) *served {
	if len(w.serving) == 0 {
		t.Skip("nothing is served")
	}
	ids := make([]string, 0, len(w.serving))
	for id := range w.serving {
		ids = append(ids, string(id))
	}
	slices.Sort(ids)
	return w.serving[ident.Request(rapid.SampledFrom(ids).Draw(t, "served"))]
}

func (w *world) end(e End) {
	delete(w.serving, e.ID)
	w.finals[e.ID]++
	w.scheduler.End(w.now, e)
}

func (w *world) endOne(t *rapid.T) {
	r := w.pickServed(t)
	e := End{
		ID: r.request.ID, Outcome: outcome.Completed, PromptTokens: r.request.PromptTokens,
		Tokens: r.tokens + 1, Prefill: time.Millisecond, Total: max(time.Millisecond, w.now.Sub(r.since)),
	}
	if r.stopping || rapid.Bool().Draw(t, "cut") {
		e.Outcome = outcome.Interrupted
		e.TargetCrashed = rapid.IntRange(0, 3).Draw(t, "died") == 0
	}
	w.end(e)
	w.decide(t)
}

func (w *world) progress(t *rapid.T) {
	r := w.pickServed(t)
	r.tokens += rapid.IntRange(0, 5).Draw(t, "tokens")
	w.scheduler.Progress(w.now, Progress{
		ID: r.request.ID, Tokens: r.tokens, SinceDispatch: w.now.Sub(r.since),
		Prefill: time.Millisecond, Gap: time.Duration(rapid.IntRange(0, 200).Draw(t, "gap ms")) * time.Millisecond,
	})
	w.decide(t)
}

func (w *world) decline(t *rapid.T) {
	r := w.pickServed(t)
	delete(w.serving, r.request.ID)
	cause := rapid.SampledFrom([]DeclineCause{DeclineDial, DeclineExpired, DeclineClaim}).Draw(t, "cause")
	w.scheduler.Decline(w.now, Decline{ID: r.request.ID, Target: r.target, Cause: cause})
	if rapid.Bool().Draw(t, "again") {
		r.request.ExcludedTargets = append(slices.Clone(r.request.ExcludedTargets), r.target)
		w.enqueue(r.request)
	} else {
		w.finals[r.request.ID]++
	}
	w.decide(t)
}

// loseEntry drops one entry, or has it report that it lost some requests.
func (w *world) loseEntry(t *rapid.T) {
	host := rapid.SampledFrom([]ident.Host{"host-1", "host-2"}).Draw(t, "entry")
	all := rapid.Bool().Draw(t, "all")
	var queue []Request
	var inService []RunningRequest
	for i := 1; i <= w.count; i++ {
		id := ident.Request(fmt.Sprintf("r%d", i))
		lost := all || rapid.Bool().Draw(t, "lost")
		if r, ok := w.queued[id]; ok && r.Entry == host {
			if !lost {
				queue = append(queue, r)
				continue
			}
			delete(w.queued, id)
			w.finals[id]++
		}
		if r, ok := w.serving[id]; ok && r.request.Entry == host {
			if !lost {
				inService = append(inService, RunningRequest{Request: r.request, Target: r.target, Dispatched: r.since, Tokens: r.tokens})
				continue
			}
			delete(w.serving, id)
			w.finals[id]++
		}
	}
	if all {
		w.scheduler.RemoveEntry(w.now, host)
	} else {
		w.scheduler.ReconcileEntry(w.now, host, queue, inService)
	}
	w.decide(t)
}

func (w *world) configure(t *rapid.T) {
	w.config.Targets = slices.Clone(w.config.Targets)
	target := &w.config.Targets[rapid.IntRange(0, len(w.config.Targets)-1).Draw(t, "target")]
	target.Leaving = rapid.IntRange(0, 3).Draw(t, "leaving") == 0
	if rapid.IntRange(0, 5).Draw(t, "change policy") == 0 {
		w.config.Pool.Policy = rapid.SampledFrom(modelPolicies).Draw(t, "policy")
	}
	w.scheduler.Configure(w.now, w.config)
	w.decide(t)
}

func (w *world) advance(t *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
	w.decide(t)
}

// step sets the clock: far ahead, or back a little.
func (w *world) step(t *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(-2, 600).Draw(t, "s")) * time.Second)
	w.decide(t)
}

func (w *world) hint(t *rapid.T) {
	w.scheduler.UpdatePoolHint(w.now, PoolHint{
		DataCentre: "colombo-2", At: w.now,
		FreeSlots:  rapid.IntRange(0, 2).Draw(t, "free"),
		LowestRank: rapid.IntRange(-1, 3).Draw(t, "lowest"),
	})
	w.scheduler.ObserveLoad(w.now, LoadReport{
		Target: "engine-001", At: w.now,
		Running: rapid.IntRange(0, 3).Draw(t, "running"),
	})
	w.decide(t)
}

// drain ends everything and checks that nothing is left over.
func (w *world) drain(t *rapid.T) {
	for range 3 * (w.count + 1) {
		for id := range w.serving {
			w.end(End{ID: id, Outcome: outcome.Interrupted})
		}
		w.now = w.now.Add(30 * time.Second)
		w.decide(t)
	}
	for i := 1; i <= w.count; i++ {
		if id := ident.Request(fmt.Sprintf("r%d", i)); w.finals[id] != 1 {
			t.Fatalf("%s has %d final answers", id, w.finals[id])
		}
	}
	s := w.scheduler
	if s.freeing != 0 || s.giveUp.Len() != 0 || len(s.queue) != 0 || len(s.running) != 0 {
		t.Fatalf("left over: %d freeing, %d to give up", s.freeing, s.giveUp.Len())
	}
	for _, tier := range s.tiers {
		if tier.queued != 0 || tier.backlog.total != 0 || tier.freeing != 0 || tier.risk.Len() != 0 || tier.order.Len() != 0 {
			t.Fatalf("tier %s: %d queued, backlog %v, %d freeing left", tier.name, tier.queued, tier.backlog.total, tier.freeing)
		}
	}
	for _, target := range s.targets {
		if target.Suspects != 0 || target.InService != 0 || target.bound.Len() != 0 {
			t.Fatalf("target %s: %d suspects, %d in service, %d bound left", target.Name, target.Suspects, target.InService, target.bound.Len())
		}
	}
}

func TestProperties(t *testing.T) {
	for _, policy := range modelPolicies {
		t.Run(string(policy), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				w := newWorld(policy)
				t.Repeat(map[string]func(*rapid.T){
					"arrive":     w.arrive,
					"arrive too": w.arrive,
					"end":        w.endOne,
					"progress":   w.progress,
					"decline":    w.decline,
					"lose entry": w.loseEntry,
					"configure":  w.configure,
					"advance":    w.advance,
					"step":       w.step,
					"hint":       w.hint,
				})
				w.drain(t)
			})
		})
	}
}
