package admission

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/outcome"
)

// schedulerWithKnownRates returns a scheduler whose estimators have learned a
// token gap of 10 ms.
func schedulerWithKnownRates(config Config) *Scheduler {
	s := newTestScheduler(config)
	const rounds = 80
	for round := range rounds {
		observedAt := epoch.Add(time.Duration(round-rounds) * time.Second / 4)
		for _, target := range s.targets {
			target.Estimator.ObservePrefill(observedAt, 100, 20*time.Millisecond)
			target.Estimator.ObserveGap(observedAt, 1, 100, 10*time.Millisecond)
			s.estimator.ObservePrefill(observedAt, 100, 20*time.Millisecond)
			s.estimator.ObserveGap(observedAt, 1, 100, 10*time.Millisecond)
		}
		s.lengths.Observe("shops", 100, 0)
	}
	return s
}

func TestPreemption(t *testing.T) {
	request := func(id, tier string) Request { return testRequest(id, "shops", tier) }
	nonIdempotent := request("b", "batch")
	nonIdempotent.NonIdempotent = true
	urgent := request("urgent", "filing")
	urgent.Deadline = at(1400 * time.Millisecond)
	relaxed := request("patient", "filing")
	sameTier := urgent
	sameTier.Tier = "batch"
	tests := []struct {
		name    string
		running []Request
		arrives Request
		// streamed is the number of tokens streamed by the last running
		// request.
		streamed int
		want     []string
	}{
		{
			name:    "when the deadline is at risk",
			running: []Request{request("a", "batch")}, arrives: urgent, want: []string{"preempt a"},
		},
		{
			name:    "not if waiting meets the deadline",
			running: []Request{request("a", "batch")}, arrives: relaxed, want: nil,
		},
		{
			name:    "not within a tier",
			running: []Request{request("a", "batch")}, arrives: sameTier, want: []string{"refuse urgent shed"},
		},
		{
			name:    "lowest tier first",
			running: []Request{request("a", "draft"), request("b", "batch")}, arrives: urgent, want: []string{"preempt b"},
		},
		{
			name:    "fewest spent tokens first",
			running: []Request{request("a", "batch"), request("b", "batch")}, arrives: urgent, streamed: 5, want: []string{"preempt a"},
		},
		{
			name:    "non-idempotent requests last",
			running: []Request{request("a", "batch"), nonIdempotent}, arrives: urgent, want: []string{"preempt a"},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := schedulerWithKnownRates(testConfig(1, len(test.running)))
			for _, r := range test.running {
				s.Enqueue(epoch, r)
			}
			s.Decide(epoch)
			if test.streamed > 0 {
				s.Progress(epoch, Progress{ID: test.running[len(test.running)-1].ID, Tokens: test.streamed, Prefill: 20 * time.Millisecond})
			}
			s.Enqueue(epoch, test.arrives)
			if got := describe(s.Decide(epoch)); !slices.Equal(got, test.want) {
				t.Fatalf("got %v, want %v", got, test.want)
			}
			if len(test.want) == 0 || !strings.HasPrefix(test.want[0], "preempt ") {
				return
			}
			victim := strings.TrimPrefix(test.want[0], "preempt ")
			s.End(epoch, End{ID: request(victim, "").ID, Outcome: outcome.Interrupted, Reason: outcome.Preempted})
			s.Enqueue(epoch, competingRequest())
			if got := describe(s.Decide(epoch)); !slices.Contains(got, "grant urgent") {
				t.Errorf("got %v, want the freed slot granted to the request that it is reserved for", got)
			}
		})
	}
}

// competingRequest has an earlier deadline than the request that the preemption
// is made for.
func competingRequest() Request {
	r := testRequest("rival", "clerks", "filing")
	r.Deadline = at(1300 * time.Millisecond)
	return r
}

func TestForwardBeforeShed(t *testing.T) {
	late := testRequest("late", "shops", "filing")
	late.Deadline = at(1300 * time.Millisecond)
	forwarded := late
	forwarded.Forwarded = true
	free := PoolHint{DataCentre: "colombo-2", FreeSlots: 1, LowestRank: -1, At: epoch}
	full := PoolHint{DataCentre: "colombo-2", LowestRank: 0, At: epoch, Wait: time.Minute}
	preemptible := PoolHint{DataCentre: "colombo-2", LowestRank: 3, At: epoch}
	expired := free
	expired.At = epoch.Add(-time.Minute)
	distant := free
	distant.OneWayDelay = time.Second
	tests := []struct {
		name    string
		hint    PoolHint
		request Request
		want    string
	}{
		{name: "to a free slot", hint: free, request: late, want: "forward late"},
		{name: "to a pool with a preemptible lower tier", hint: preemptible, request: late, want: "forward late"},
		{name: "not to a full pool", hint: full, request: late, want: "refuse late shed"},
		{name: "not on an expired hint", hint: expired, request: late, want: "refuse late shed"},
		{name: "not if the network delay exceeds the deadline", hint: distant, request: late, want: "refuse late shed"},
		{name: "not a forwarded request", hint: free, request: forwarded, want: "refuse late shed"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := schedulerWithKnownRates(testConfig(1, 1))
			s.Enqueue(epoch, testRequest("running", "shops", "filing"))
			s.Decide(epoch)
			s.UpdatePoolHint(epoch, test.hint)
			s.Enqueue(epoch, test.request)
			now, got := epoch, []string(nil)
			for len(got) == 0 && now.Before(at(2*time.Second)) {
				now = now.Add(10 * time.Millisecond)
				if test.hint.At.Equal(epoch) {
					hint := test.hint
					hint.At = now
					s.UpdatePoolHint(now, hint)
				}
				got = describe(s.Decide(now))
			}
			if !slices.Equal(got, []string{test.want}) {
				t.Errorf("got %v, want %s", got, test.want)
			}
		})
	}
}

func TestInfeasibleIsNotShed(t *testing.T) {
	s := schedulerWithKnownRates(testConfig(1, 1))
	r := testRequest("short", "shops", "filing")
	r.Deadline = at(200 * time.Millisecond)
	s.Enqueue(epoch, r)
	if got := describe(s.Decide(epoch)); !slices.Equal(got, []string{"refuse short infeasible"}) {
		t.Errorf("got %v, want the request refused as infeasible", got)
	}
}

func TestRetryBudget(t *testing.T) {
	s := newTestScheduler(testConfig(2, 100))
	refused := 0
	for i := range 2 * retryBurst {
		r := testRequest(string(rune('a'+i)), "shops", "desk")
		r.ExcludedTargets = append(r.ExcludedTargets, "engine-000")
		s.Enqueue(epoch, r)
	}
	for _, action := range s.Decide(epoch) {
		if refusal, ok := action.(*Refuse); ok && refusal.Reason == outcome.NoTarget {
			refused++
		}
	}
	if refused != retryBurst {
		t.Errorf("%d of %d retries refused, want %d", refused, 2*retryBurst, retryBurst)
	}
}

func TestUnreachableTargetIsProbed(t *testing.T) {
	s := newTestScheduler(testConfig(1, 2))
	s.Enqueue(epoch, testRequest("a", "shops", "desk"))
	s.Decide(epoch)
	s.Decline(epoch, Decline{ID: "a", Target: "engine-000", Cause: DeclineDial})
	s.Enqueue(epoch, testRequest("b", "shops", "desk"))
	s.Enqueue(epoch, testRequest("c", "shops", "desk"))
	if got := describe(s.Decide(epoch)); got != nil {
		t.Fatalf("got %v during the backoff, want no action", got)
	}
	later := at(s.NextWake(epoch))
	if got := describe(s.Decide(later)); !slices.Equal(got, []string{"grant b"}) {
		t.Fatalf("got %v after the backoff, want one probe", got)
	}
	s.Progress(later, Progress{ID: "b", Tokens: 1, Prefill: time.Millisecond})
	if got := describe(s.Decide(later)); !slices.Equal(got, []string{"grant c"}) {
		t.Errorf("got %v after the probe succeeded, want the second request granted", got)
	}
}
