package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/route"
)

// promptOf returns a request whose prompt consists of blocks with the given hashes, each of the given
// length.
func promptOf(id string, ms, tokens int, hashes ...uint64) Request {
	r := request(id, ms, 0)
	r.PromptTokens, r.OutputTokens = tokens*len(hashes), 1
	r.Objective, r.AbandonTime, r.Deadline = at(ms+60_000), at(ms+60_000), at(ms+60_000)
	for _, hash := range hashes {
		r.PromptBlocks = append(r.PromptBlocks, PromptBlock{Hash: hash, Tokens: tokens})
	}
	return r
}

// serve runs a request to its end on the only target.
func serve(t *testing.T, s *Scheduler, ms int, r Request) {
	t.Helper()
	s.Enqueue(at(ms), r)
	if dispatched(t, s, ms)[r.ID] == "" {
		t.Fatalf("request %s was not dispatched", r.ID)
	}
	s.Finish(at(ms+1), r.ID, Served)
}

// cachedOn returns how many tokens of a prompt the target is predicted to have cached.
func cachedOn(s *Scheduler, ms int, target string, tokens int, hashes ...uint64) int {
	r := promptOf("asked", ms, tokens, hashes...)
	return s.predictedCached(at(ms), s.pools["p"], &r, s.targets[ident.Target(target)])
}

// Guards against prompts that count as cached for a fixed time: the target of 100,000 tokens has
// evicted what was least recently used, and no other prompt.
func TestLeastRecentlyUsedPrefixIsEvicted(t *testing.T) {
	s := newScheduler(4)
	serve(t, s, 0, promptOf("a", 0, 40_000, 1))
	serve(t, s, 10, promptOf("b", 10, 40_000, 2))
	serve(t, s, 20, promptOf("a again", 20, 40_000, 1))
	serve(t, s, 30, promptOf("c", 30, 40_000, 3))
	for hash, want := range map[uint64]int{1: 40_000, 2: 0, 3: 40_000} {
		if got := cachedOn(s, 100_000, "t0", 40_000, hash); got != want {
			t.Errorf("%d tokens of prompt %d cached, want %d", got, hash, want)
		}
	}
	if got := s.PoolLoads(at(40))[0].Prefixes; got.Evicted != 40_000 || got.Predicted != 40_000 {
		t.Errorf("counted %+v, want 40,000 tokens evicted and as many predicted", got)
	}
}

// Guards against an estimate that gives the memory of running requests to prefixes as well.
func TestRunningRequestsTakeMemoryFromPrefixes(t *testing.T) {
	s := newScheduler(4)
	s.pools["p"].memory.privateShare = 1
	serve(t, s, 0, promptOf("a", 0, 40_000, 1))
	s.ApplyPeerState(at(1), "b", State{Loads: []TargetLoad{{Target: "t0", Running: 1, KVTokens: 70_000}}})
	serve(t, s, 2, promptOf("b", 2, 10_000, 2))
	if first, second := cachedOn(s, 3, "t0", 40_000, 1), cachedOn(s, 3, "t0", 10_000, 2); first != 0 || second != 10_000 {
		t.Errorf("%d and %d tokens cached beside running requests of 70,000, want 0 and 10,000", first, second)
	}
}

// Guards against a block that counts although those before it are others, or are not cached.
func TestBlockCountsOnlyAfterTheSameBlocks(t *testing.T) {
	s := newScheduler(4)
	serve(t, s, 0, promptOf("a", 0, 100, 1, 2, 3))
	for _, c := range []struct {
		hashes []uint64
		want   int
	}{{[]uint64{1, 2, 3}, 300}, {[]uint64{1, 2, 4}, 200}, {[]uint64{4, 2, 3}, 0}, {[]uint64{2, 3}, 0}, {[]uint64{1, 3, 2}, 100}} {
		if got := cachedOn(s, 10, "t0", 100, c.hashes...); got != c.want {
			t.Errorf("%d tokens of %v cached, want %d", got, c.hashes, c.want)
		}
	}
}

// Guards against a former process whose cache counts for the next one, here or at other hosts.
func TestRestartClearsPrefixes(t *testing.T) {
	s := newScheduler(4)
	serve(t, s, 0, promptOf("a", 0, 1000, 1, 2))
	snapshot := engines(4)
	restarted := snapshot.Targets["t0"]
	restarted.StartUnixMs = 5
	snapshot.Targets["t0"] = restarted
	s.Configure(at(10), pools(), snapshot)
	if got := cachedOn(s, 20, "t0", 1000, 1, 2); got != 0 {
		t.Errorf("%d tokens cached after a restart, want 0", got)
	}
	if sent := s.LocalState(at(20)).PrefixLocations; len(sent) > 0 {
		t.Errorf("locations %v sent after a restart, want none", sent)
	}
}

// Guards against prefixes that only the host knows which sent them, in whatever order their parts
// arrive.
func TestOtherHostsLearnOfAllParts(t *testing.T) {
	s, other := newScheduler(4), newScheduler(4)
	serve(t, s, 0, promptOf("a", 0, 1000, 1, 2, 3))
	other.ApplyPeerState(at(5), "a", s.LocalState(at(5)))
	if got := cachedOn(other, 10, "t0", 1000, 1, 2, 3); got != 3000 {
		t.Errorf("the other host predicts %d tokens cached, want 3000", got)
	}
}

// Guards against locations of the former build, which have no lengths, and against wrong lengths.
func TestUnknownLengthsDoNoHarm(t *testing.T) {
	s := newScheduler(4)
	serve(t, s, 0, promptOf("a", 0, 1000, 1))
	s.ApplyPeerState(at(5), "old", State{PrefixLocations: []PrefixLocation{
		{Hash: 1, Target: "t0"}, {Hash: 2, Target: "t0"}, {Hash: 3, Target: "t0", Tokens: 1 << 30}, {Hash: 4, Target: "none"},
	}})
	known, unknown, wrong := cachedOn(s, 10, "t0", 1000, 1), cachedOn(s, 10, "t0", 1000, 2), cachedOn(s, 10, "t0", 1000, 3)
	if known != 1000 || unknown != 0 || wrong != 0 {
		t.Errorf("%d, %d and %d tokens cached, want 1000, 0 and 0", known, unknown, wrong)
	}
}

// Guards against memory that grows with the prompts of a target, or with the blocks of a prompt.
func TestRecordedPrefixesAreBounded(t *testing.T) {
	s := newScheduler(4)
	for i := range 3 * maxTargetPrefixes {
		serve(t, s, i, promptOf(fmt.Sprint(i), i, 1, uint64(i+1)))
	}
	long := make([]uint64, 5*maxPromptPrefixes)
	for i := range long {
		long[i] = uint64(1_000_000 + i)
	}
	serve(t, s, 10_000, promptOf("long", 10_000, 1, long...))
	x := &s.targets["t0"].prefixes
	if len(x.indexes) != maxTargetPrefixes || len(x.entries) != maxTargetPrefixes+1 {
		t.Errorf("%d indexes and %d entries, want %d and one more", len(x.indexes), len(x.entries), maxTargetPrefixes)
	}
	if got := cachedOn(s, 10_001, "t0", 1, long...); got != maxPromptPrefixes {
		t.Errorf("%d tokens of the long prompt cached, want %d", got, maxPromptPrefixes)
	}
}

// Guards against a change where the memory of targets is not stated: blocks count for a fixed time
// after their last use, and locations have no lengths.
func TestPoolWithoutStatedMemoryIsUnchanged(t *testing.T) {
	s := New(Options{DataCentre: "near", Random: func() float64 { return 0 }})
	s.Configure(start, map[ident.Pool]*route.Pool{"p": {Name: "p", Engine: &route.Engine{}}}, engines(4))
	serve(t, s, 0, promptOf("a", 0, 90_000, 1, 2))
	serve(t, s, 1, promptOf("b", 1, 90_000, 3))
	if got := cachedOn(s, 44_000, "t0", 90_000, 1, 2); got != 180_000 {
		t.Errorf("%d tokens cached after 44 s, want 180,000", got)
	}
	if got := cachedOn(s, 46_000, "t0", 90_000, 1, 2); got != 0 {
		t.Errorf("%d tokens cached after 46 s, want 0", got)
	}
	for _, l := range s.LocalState(at(10)).PrefixLocations {
		if l.Tokens != 0 || l.Hash != 2 && l.Hash != 3 {
			t.Errorf("location %+v sent, want the last block alone without a length", l)
		}
	}
}

// newCheckedScheduler returns a scheduler whose two targets process 50,000 tokens a second.
func newCheckedScheduler() *Scheduler {
	s := newScheduler(4, 4)
	for _, t := range s.targets {
		t.speeds.PrefillRate = defaultPrefillRate
	}
	return s
}

// runAgain runs a prompt of 10,000 tokens twice on one target, and returns where the third one goes. The
// first event of the second run arrives after the given time.
func runAgain(t *testing.T, s *Scheduler, first time.Duration) (before, after string) {
	t.Helper()
	ms := int(first.Milliseconds())
	s.Enqueue(at(0), promptOf("a", 0, 5000, 1, 2))
	before = string(dispatched(t, s, 0)["a"])
	s.RecordFirstEvent(at(225), "a")
	s.Finish(at(300), "a", Served)
	for i := range 20 {
		id, from := fmt.Sprint(i), 1000*(i+1)
		s.Enqueue(at(from), promptOf(id, from, 5000, 1, 2))
		if after = string(dispatched(t, s, from)[ident.Request(id)]); after != before {
			return before, after
		}
		s.RecordFirstEvent(at(from+ms), ident.Request(id))
		s.Finish(at(from+ms+1), ident.Request(id), Served)
	}
	return before, after
}

// Guards against a target that keeps getting prompts for a cache that it does not have, and against
// slow speeds learned from wrong predictions: the first events take as long as without a cache.
func TestWrongPredictionsLowerTrust(t *testing.T) {
	s := newCheckedScheduler()
	before, _ := runAgain(t, s, 225*time.Millisecond)
	target := s.targets[ident.Target(before)]
	if trust := target.prefixes.trust.value(at(2000)); trust > 1-cacheTrustWeight/2 {
		t.Errorf("trust %.2f after a wrong prediction, want less", trust)
	}
	if rate := target.speeds.PrefillRate; rate < 0.9*defaultPrefillRate {
		t.Errorf("prefill rate %.0f learned from wrong predictions, want about %.0f", rate, defaultPrefillRate)
	}
	counts, events := s.PoolLoads(at(30_000))[0].Prefixes, s.TakePrefixEvents()
	if counts.Refuted == 0 || counts.Confirmed != 0 {
		t.Errorf("counted %+v, want refuted predictions only", counts)
	}
	if len(events) == 0 || len(events) > 3 || events[0].Tokens != 10_000 || events[0].Target != ident.Target(before) {
		t.Errorf("events %+v, want one about 10,000 tokens every 10 s of 20 s at most", events)
	}
}

// Guards against doubt about a target whose predictions come true, and about one that is late for
// another reason.
func TestOnlyWrongPredictionsLowerTrust(t *testing.T) {
	for _, first := range []time.Duration{30 * time.Millisecond, 900 * time.Millisecond} {
		s := newCheckedScheduler()
		before, after := runAgain(t, s, first)
		if trust := s.targets[ident.Target(before)].prefixes.trust.value(at(30_000)); trust != 1 || len(s.TakePrefixEvents()) > 0 {
			t.Errorf("first event after %v: trust %.2f, want 1 and no event", first, trust)
		}
		if first < 100*time.Millisecond && after != before {
			t.Errorf("session moved from %s to %s although its prompt is cached", before, after)
		}
	}
}

// BenchmarkSelectWithPrefixes measures a decision among 90 targets that have cached the first four of
// five blocks, with full tables, and with the estimate of pools whose memory is not stated.
func BenchmarkSelectWithPrefixes(b *testing.B) {
	slots := make([]int, 90)
	for i := range slots {
		slots[i] = 6
	}
	for _, memory := range []int{0, 1_000_000} {
		b.Run(fmt.Sprint("memory=", memory), func(b *testing.B) {
			s := New(Options{DataCentre: "near", Random: func() float64 { return 0 }})
			s.Configure(start, map[ident.Pool]*route.Pool{"p": {Name: "p", Engine: &route.Engine{KVCacheTokens: memory}}}, engines(slots...))
			p := s.pools["p"]
			for _, t := range s.targets {
				for i := range maxTargetPrefixes / 2 {
					r := promptOf("a", 0, 50, uint64(10*i), uint64(10*i+1))
					s.recordPrefixLocation(at(0), &r, t.Name)
				}
				r := promptOf("a", 0, 50, 1, 2, 3, 4)
				s.recordPrefixLocation(at(0), &r, t.Name)
			}
			w := &queuedRequest{}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				r := promptOf("a", 0, 50, 1, 2, 3, 4, uint64(1000+i))
				w.request = &r
				s.selectTarget(at(1), p, w, p.targets)
			}
		})
	}
}
