package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/quarantine"
	"github.com/cornelyard/cornelyard/settings"
)

// reference is the state as entries and targets know it. The scheduler's
// actions and counters are checked against it.
type reference struct {
	scheduler    *Scheduler
	config       Config
	now          time.Time
	requestCount int
	queued       map[ident.Request]Request
	running      map[ident.Request]*runningReference
	// finalResponses counts the final responses of each request.
	finalResponses map[ident.Request]int
}

// runningReference is a request that the reference considers running.
type runningReference struct {
	request  Request
	target   ident.Target
	since    time.Time
	tokens   int
	stopping bool
}

const referenceSlots = 2

func newReference(policy settings.Policy) *reference {
	config := testConfig(3, referenceSlots)
	config.Pool.Policy = policy
	config.Pool.MaxQueue = 4
	return &reference{
		scheduler:      newTestScheduler(config),
		config:         config,
		now:            epoch,
		queued:         make(map[ident.Request]Request),
		running:        make(map[ident.Request]*runningReference),
		finalResponses: make(map[ident.Request]int),
	}
}

func (ref *reference) rank(r Request) int {
	return slices.IndexFunc(testTiers, func(tier settings.Tier) bool { return tier.Name == r.Tier })
}

// lowerTierActive reports whether a lower tier is queued, or running and not
// being preempted.
func (ref *reference) lowerTierActive(r Request) bool {
	for _, other := range ref.queued {
		if ref.rank(other) > ref.rank(r) {
			return true
		}
	}
	for _, other := range ref.running {
		if ref.rank(other.request) > ref.rank(r) && !other.stopping {
			return true
		}
	}
	return false
}

// decide applies the scheduler's actions and checks each of them.
func (ref *reference) decide(t *rapid.T) {
	for _, action := range ref.scheduler.Decide(ref.now) {
		switch a := action.(type) {
		case *Grant:
			ref.granted(t, a)
		case *Refuse:
			ref.refused(t, a)
		case *Forward:
			if a.Request.Forwarded {
				t.Fatalf("%s is forwarded a second time", a.Request.ID)
			}
			ref.refused(t, &a.Refusal)
		case *Preempt:
			ref.preempted(t, a)
		}
	}
	ref.checkCounts(t)
}

func (ref *reference) granted(t *rapid.T, a *Grant) {
	r, ok := ref.queued[a.Request.ID]
	if !ok {
		t.Fatalf("%s is granted but not queued", a.Request.ID)
	}
	if slices.Contains(r.ExcludedTargets, a.Target) {
		t.Fatalf("%s is granted %s, which it excludes", r.ID, a.Target)
	}
	target := ref.target(a.Target)
	running := 0
	for _, other := range ref.running {
		if other.target == a.Target {
			running++
		}
	}
	if target == nil || target.Leaving || running >= target.Slots {
		t.Fatalf("%s is granted %s, which is unavailable or full (%d running)", r.ID, a.Target, running)
	}
	delete(ref.queued, r.ID)
	ref.running[r.ID] = &runningReference{request: r, target: a.Target, since: ref.now}
}

func (ref *reference) target(name ident.Target) *settings.Target {
	for i := range ref.config.Targets {
		if ref.config.Targets[i].Name == name {
			return &ref.config.Targets[i]
		}
	}
	return nil
}

func (ref *reference) refused(t *rapid.T, a *Refuse) {
	r, ok := ref.queued[a.Request.ID]
	if !ok {
		t.Fatalf("%s is refused but not queued", a.Request.ID)
	}
	if a.Reason == outcome.Shed && ref.config.Pool.Policy == settings.PolicyPredictive && ref.lowerTierActive(r) {
		t.Fatalf("%s of tier %s is shed while a lower tier is queued or running", r.ID, r.Tier)
	}
	delete(ref.queued, r.ID)
	ref.finalResponses[r.ID]++
}

func (ref *reference) preempted(t *rapid.T, a *Preempt) {
	victim, ok := ref.running[a.Request.ID]
	if !ok || victim.stopping {
		t.Fatalf("%s is preempted but not running, or preempted already", a.Request.ID)
	}
	victim.stopping = true
	for _, r := range ref.queued {
		if ref.rank(r) < ref.rank(victim.request) {
			return
		}
	}
	t.Fatalf("%s is preempted though no higher tier is queued", a.Request.ID)
}

// checkCounts compares the scheduler's counters with the reference.
func (ref *reference) checkCounts(t *rapid.T) {
	s := ref.scheduler
	if len(s.queue) != len(ref.queued) || len(s.running) != len(ref.running) {
		t.Fatalf("scheduler has %d queued and %d running, reference has %d and %d",
			len(s.queue), len(s.running), len(ref.queued), len(ref.running))
	}
	needs := make(map[*queuedRequest]int)
	for _, target := range s.targets {
		pending, freeing := 0, 0
		for _, r := range target.running.items {
			if !r.prefilled {
				pending += r.uncachedTokens
			}
			if r.preempted {
				freeing++
			}
			if r.beneficiary != nil {
				needs[r.beneficiary]++
			}
		}
		if target.RunningRequests != len(target.running.items) || target.preempting != freeing || target.PendingPrefill != pending {
			t.Fatalf("%s: counters are %d running, %d preempting and %d tokens of pending prefill, want %d, %d and %d", target.Name,
				target.RunningRequests, target.preempting, target.PendingPrefill, len(target.running.items), freeing, pending)
		}
	}
	for q, victims := range needs {
		if victims > 1 {
			t.Fatalf("%s has %d victims", q.request.ID, victims)
		}
	}
	if wake := s.NextWake(ref.now); wake < 0 || wake > maxWake {
		t.Fatalf("next wake after %v is out of range", wake)
	}
}

func (ref *reference) arrive(t *rapid.T) {
	ref.requestCount++
	r := testRequest(fmt.Sprintf("r%d", ref.requestCount),
		rapid.SampledFrom([]string{"shops", "clerks", "office"}).Draw(t, "team"),
		string(rapid.SampledFrom(testTiers).Draw(t, "tier").Name))
	r.Entry = rapid.SampledFrom([]ident.Host{"host-1", "host-2"}).Draw(t, "entry")
	r.Arrived = ref.now
	r.Deadline = ref.now.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "deadline ms")) * time.Millisecond)
	r.PromptTokens = rapid.IntRange(0, 20_000).Draw(t, "prompt")
	r.MaxTokens = rapid.IntRange(0, 1000).Draw(t, "max tokens")
	r.NonIdempotent = rapid.Bool().Draw(t, "non-idempotent")
	r.Forwarded = rapid.Bool().Draw(t, "forwarded")
	r.Content.Whole = quarantine.Digest(rapid.IntRange(0, 30).Draw(t, "digest"))
	ref.enqueue(r)
	ref.decide(t)
}

func (ref *reference) enqueue(r Request) {
	ref.queued[r.ID] = r
	ref.scheduler.Enqueue(ref.now, r)
}

// drawRunning draws one running request.
func (ref *reference) drawRunning(t *rapid.T) *runningReference {
	if len(ref.running) == 0 {
		t.Skip("nothing is running")
	}
	ids := make([]string, 0, len(ref.running))
	for id := range ref.running {
		ids = append(ids, string(id))
	}
	slices.Sort(ids)
	return ref.running[ident.Request(rapid.SampledFrom(ids).Draw(t, "served"))]
}

func (ref *reference) end(e End) {
	delete(ref.running, e.ID)
	ref.finalResponses[e.ID]++
	ref.scheduler.End(ref.now, e)
}

func (ref *reference) endOne(t *rapid.T) {
	r := ref.drawRunning(t)
	e := End{
		ID: r.request.ID, Outcome: outcome.Completed, PromptTokens: r.request.PromptTokens,
		Tokens: r.tokens + 1, Prefill: time.Millisecond, Total: max(time.Millisecond, ref.now.Sub(r.since)),
	}
	if r.stopping || rapid.Bool().Draw(t, "cut") {
		e.Outcome = outcome.Interrupted
		e.ConnectionLost = rapid.IntRange(0, 3).Draw(t, "lost") == 0
		e.TargetCrashed = e.ConnectionLost && rapid.Bool().Draw(t, "crashed")
	}
	ref.end(e)
	ref.decide(t)
}

func (ref *reference) progress(t *rapid.T) {
	r := ref.drawRunning(t)
	r.tokens += rapid.IntRange(0, 5).Draw(t, "tokens")
	ref.scheduler.Progress(ref.now, Progress{
		ID: r.request.ID, Tokens: r.tokens, SinceDispatch: ref.now.Sub(r.since),
		Prefill: time.Millisecond, Gap: time.Duration(rapid.IntRange(0, 200).Draw(t, "gap ms")) * time.Millisecond,
	})
	ref.decide(t)
}

func (ref *reference) decline(t *rapid.T) {
	r := ref.drawRunning(t)
	delete(ref.running, r.request.ID)
	cause := rapid.SampledFrom([]DeclineCause{DeclineDial, DeclineExpired, DeclineClaim}).Draw(t, "cause")
	ref.scheduler.Decline(ref.now, Decline{ID: r.request.ID, Target: r.target, Cause: cause})
	if rapid.Bool().Draw(t, "again") {
		r.request.ExcludedTargets = append(slices.Clone(r.request.ExcludedTargets), r.target)
		ref.enqueue(r.request)
	} else {
		ref.finalResponses[r.request.ID]++
	}
	ref.decide(t)
}

// removeOrReconcileEntry removes one entry, or has it report that it lost some
// requests.
func (ref *reference) removeOrReconcileEntry(t *rapid.T) {
	host := rapid.SampledFrom([]ident.Host{"host-1", "host-2"}).Draw(t, "entry")
	all := rapid.Bool().Draw(t, "all")
	var queued []Request
	var dispatched []DispatchedRequest
	for i := 1; i <= ref.requestCount; i++ {
		id := ident.Request(fmt.Sprintf("r%d", i))
		lost := all || rapid.Bool().Draw(t, "lost")
		if r, ok := ref.queued[id]; ok && r.Entry == host {
			if !lost {
				queued = append(queued, r)
				continue
			}
			delete(ref.queued, id)
			ref.finalResponses[id]++
		}
		if r, ok := ref.running[id]; ok && r.request.Entry == host {
			if !lost {
				dispatched = append(dispatched, DispatchedRequest{Request: r.request, Target: r.target, Dispatched: r.since, Tokens: r.tokens})
				continue
			}
			delete(ref.running, id)
			ref.finalResponses[id]++
		}
	}
	if all {
		ref.scheduler.RemoveEntry(ref.now, host)
	} else {
		ref.scheduler.ReconcileEntry(ref.now, host, queued, dispatched)
	}
	ref.decide(t)
}

func (ref *reference) configure(t *rapid.T) {
	ref.config.Targets = slices.Clone(ref.config.Targets)
	target := &ref.config.Targets[rapid.IntRange(0, len(ref.config.Targets)-1).Draw(t, "target")]
	target.Leaving = rapid.IntRange(0, 3).Draw(t, "leaving") == 0
	if rapid.IntRange(0, 5).Draw(t, "change policy") == 0 {
		ref.config.Pool.Policy = rapid.SampledFrom(allPolicies).Draw(t, "policy")
	}
	ref.scheduler.Configure(ref.now, ref.config)
	ref.decide(t)
}

func (ref *reference) advance(t *rapid.T) {
	ref.now = ref.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
	ref.decide(t)
}

// jumpClock moves the clock far ahead or a little back.
func (ref *reference) jumpClock(t *rapid.T) {
	ref.now = ref.now.Add(time.Duration(rapid.IntRange(-2, 600).Draw(t, "s")) * time.Second)
	ref.decide(t)
}

func (ref *reference) hint(t *rapid.T) {
	ref.scheduler.UpdatePoolHint(ref.now, PoolHint{
		DataCentre: "colombo-2", At: ref.now,
		FreeSlots:  rapid.IntRange(0, 2).Draw(t, "free"),
		LowestRank: rapid.IntRange(-1, 3).Draw(t, "lowest"),
	})
	ref.scheduler.ObserveLoad(ref.now, LoadReport{
		Target: "engine-001", At: ref.now,
		Running: rapid.IntRange(0, 3).Draw(t, "running"),
	})
	ref.decide(t)
}

// drain ends all requests and checks that no state is left.
func (ref *reference) drain(t *rapid.T) {
	for range 3 * (ref.requestCount + 1) {
		for id := range ref.running {
			ref.end(End{ID: id, Outcome: outcome.Interrupted})
		}
		ref.now = ref.now.Add(30 * time.Second)
		ref.decide(t)
	}
	for i := 1; i <= ref.requestCount; i++ {
		if id := ident.Request(fmt.Sprintf("r%d", i)); ref.finalResponses[id] != 1 {
			t.Fatalf("%s has %d final responses, want 1", id, ref.finalResponses[id])
		}
	}
	s := ref.scheduler
	if s.preempting != 0 || s.latestStarts.Len() != 0 || len(s.queue) != 0 || len(s.running) != 0 {
		t.Fatalf("after the drain: %d preempting, %d in the latest-start heap", s.preempting, s.latestStarts.Len())
	}
	for _, tier := range s.tiers {
		if tier.queued != 0 || tier.backlog.total != 0 || tier.preempting != 0 || tier.riskChecks.Len() != 0 || tier.serviceOrder.Len() != 0 {
			t.Fatalf("tier %s after the drain: %d queued, backlog %v, %d preempting", tier.name, tier.queued, tier.backlog.total, tier.preempting)
		}
	}
	for _, target := range s.targets {
		if target.Suspects != 0 || target.RunningRequests != 0 || target.boundRequests.Len() != 0 {
			t.Fatalf("target %s after the drain: %d suspects, %d running, %d bound", target.Name, target.Suspects, target.RunningRequests, target.boundRequests.Len())
		}
	}
}

func TestProperties(t *testing.T) {
	for _, policy := range allPolicies {
		t.Run(string(policy), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				ref := newReference(policy)
				t.Repeat(map[string]func(*rapid.T){
					"arrive":     ref.arrive,
					"arrive too": ref.arrive,
					"end":        ref.endOne,
					"progress":   ref.progress,
					"decline":    ref.decline,
					"lose entry": ref.removeOrReconcileEntry,
					"configure":  ref.configure,
					"advance":    ref.advance,
					"step":       ref.jumpClock,
					"hint":       ref.hint,
				})
				ref.drain(t)
			})
		})
	}
}
