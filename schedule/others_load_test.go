package schedule

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	"github.com/cornelyard/cornelyard/ident"
)

// TestSumsOfOthersLoadsFollowTheNews holds the sums that are kept up with each
// message to those that are added up anew.
func TestSumsOfOthersLoadsFollowTheNews(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newScheduler(7, 7, 7)
		for i := range rapid.IntRange(1, 30).Draw(t, "messages") {
			host := ident.Host(rapid.SampledFrom([]string{"b", "c", "d"}).Draw(t, "host"))
			s.Hear(at(i), host, State{Loads: rapid.SliceOfN(rapid.Custom(drawLoad), 0, 4).Draw(t, "loads")})
			if rapid.IntRange(0, 9).Draw(t, "forget") == 0 {
				s.ForgetSilent(at(i))
			}
		}
		kept := make(map[ident.Target]othersLoad)
		for name, target := range s.targets {
			kept[name] = target.others
		}
		s.sumLoads()
		for name, target := range s.targets {
			checkSame(t, name, kept[name], target.others)
		}
	})
}

func drawLoad(t *rapid.T) Load {
	return Load{
		Target:        ident.Target(rapid.SampledFrom([]string{"t0", "t1", "t2", "unknown"}).Draw(t, "target")),
		Running:       rapid.IntRange(0, 7).Draw(t, "running"),
		PrefillTokens: rapid.IntRange(0, 9000).Draw(t, "prefill"),
		KVTokens:      rapid.IntRange(0, 9000).Draw(t, "kv"),
		Good:          float64(rapid.IntRange(0, 90).Draw(t, "good")),
		Bad:           float64(rapid.IntRange(0, 90).Draw(t, "bad")),
		Resting:       rapid.Bool().Draw(t, "resting"),
		Speeds: Speeds{
			PrefillRate: float64(rapid.IntRange(0, 3).Draw(t, "rate")) * 1000,
			Pace:        float64(rapid.IntRange(0, 3).Draw(t, "pace")) / 64,
		},
	}
}

func checkSame(t *rapid.T, name ident.Target, kept, anew othersLoad) {
	near := func(a, b float64) bool { return math.Abs(a-b) < 1e-6 }
	same := kept.Running == anew.Running && kept.PrefillTokens == anew.PrefillTokens &&
		kept.KVTokens == anew.KVTokens && kept.resting == anew.resting &&
		near(kept.Good, anew.Good) && near(kept.Bad, anew.Bad) &&
		near(kept.meanSpeeds().Pace, anew.meanSpeeds().Pace) &&
		near(kept.meanSpeeds().PrefillRate, anew.meanSpeeds().PrefillRate)
	if !same {
		t.Errorf("%s: kept %+v, anew %+v", name, kept, anew)
	}
}
