package rollout

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// judgeGrowing judges a version again and again while its evidence grows, one run of a
// candidate and nine of old targets at a time, and returns the verdict with the number of bad
// responses until then. A slower version has only bad responses.
func judgeGrowing(random *rand.Rand, runs int, failures, rise, slower float64) (Verdict, int) {
	evidence, badResponses := Report{}, 0
	add := func(side Side, rate, factor float64) bool {
		key := CountKey{Route: RouteID(random.IntN(4)), Side: side}
		counts := evidence[key]
		failed := random.Float64() < rate
		if failed {
			counts.Failures++
		} else {
			counts.Successes++
			duration := 0.2 * factor * math.Exp(0.5*random.NormFloat64())
			counts.FirstEvents.Record(time.Duration(duration * float64(time.Second)))
		}
		evidence[key] = counts
		return failed
	}
	verdict := Verdict{}
	for range runs {
		for range 9 {
			add(Old, failures, 1)
		}
		if add(New, failures+rise, slower) || slower > 1 {
			badResponses++
		}
		if verdict = Judge(evidence); verdict.Outcome == Bad {
			break
		}
	}
	return verdict, badResponses
}

// Guards against thresholds that find good versions bad. At most 1 in 1,000 is required. The
// seed is fixed.
func TestJudgeFindsGoodVersionsGood(t *testing.T) {
	t.Parallel()
	random := rand.New(rand.NewPCG(1, 1))
	for _, failures := range []float64{0.01, 0.14} {
		found, good := 0, 0
		for range 1000 {
			switch v, _ := judgeGrowing(random, 150, failures, 0, 1); v.Outcome {
			case Bad:
				found++
			case Good:
				good++
			}
		}
		if found > 1 {
			t.Errorf("failure rate %v: %d of 1000 good versions were found bad, want at most 1", failures, found)
		}
		if good < 900 {
			t.Errorf("failure rate %v: %d of 1000 good versions were found good, want nine in ten", failures, good)
		}
	}
}

// Guards against a bad version that is found too late: on average before its 50th bad
// response is required.
func TestJudgeFindsBadVersionsBeforeTheir50thBadResponse(t *testing.T) {
	t.Parallel()
	random := rand.New(rand.NewPCG(2, 1))
	for name, v := range map[string]struct{ failures, rise, slower float64 }{
		"20 points above 1 in 100":  {0.01, 0.2, 1},
		"20 points above 14 in 100": {0.14, 0.2, 1},
		"twice as long":             {0.01, 0, 2},
	} {
		const versions = 200
		total := 0
		for range versions {
			verdict, badResponses := judgeGrowing(random, 1000, v.failures, v.rise, v.slower)
			if verdict.Outcome != Bad {
				t.Errorf("%s: not found bad", name)
			}
			total += badResponses
		}
		if mean := float64(total) / versions; mean >= 50 {
			t.Errorf("%s: found after %v bad responses on average, want fewer than 50", name, mean)
		} else {
			t.Logf("%s: found after %v bad responses on average", name, mean)
		}
	}
}
