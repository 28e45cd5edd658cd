package schedule

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	"github.com/cornelyard/cornelyard/ident"
)

// TestIncrementalPeerAggregatesMatchRebuild guards against drift: the totals that are
// updated with each message must equal those that are recomputed from all states.
func TestIncrementalPeerAggregatesMatchRebuild(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newScheduler(7, 7, 7)
		for i := range rapid.IntRange(1, 30).Draw(t, "messages") {
			host := ident.Host(rapid.SampledFrom([]string{"b", "c", "d"}).Draw(t, "host"))
			s.ApplyPeerState(at(i), host, drawState(t))
			if rapid.Bool().Draw(t, "aggregate") {
				s.ApplyDataCentreState(at(i), ident.DataCentre(rapid.SampledFrom([]string{"x", "y"}).Draw(t, "data centre")), 3, drawState(t))
			}
			if rapid.IntRange(0, 9).Draw(t, "expire") == 0 {
				s.ExpirePeers(at(i))
			}
		}
		total, direct := make(map[ident.Target]peerAggregate), make(map[ident.Target]peerAggregate)
		for name, target := range s.targets {
			total[name], direct[name] = target.peers, target.directPeers
		}
		s.rebuildAggregates()
		for name, target := range s.targets {
			checkSame(t, name, total[name], target.peers)
			checkSame(t, name, direct[name], target.directPeers)
		}
	})
}

func drawState(t *rapid.T) State {
	return State{
		Loads:        rapid.SliceOfN(rapid.Custom(drawLoad), 0, 4).Draw(t, "loads"),
		Observed:     rapid.Bool().Draw(t, "observed"),
		Observations: rapid.SliceOfN(rapid.Custom(drawObservation), 0, 4).Draw(t, "observations"),
	}
}

func drawTarget(t *rapid.T) ident.Target {
	return ident.Target(rapid.SampledFrom([]string{"t0", "t1", "t2", "unknown"}).Draw(t, "target"))
}

func drawLoad(t *rapid.T) TargetLoad {
	return TargetLoad{
		Target:        drawTarget(t),
		Running:       rapid.IntRange(0, 7).Draw(t, "running"),
		PrefillTokens: rapid.IntRange(0, 9000).Draw(t, "prefill"),
		KVTokens:      rapid.IntRange(0, 9000).Draw(t, "kv"),
	}
}

func drawObservation(t *rapid.T) Observation {
	return Observation{
		Target:    drawTarget(t),
		Successes: float64(rapid.IntRange(0, 90).Draw(t, "good")),
		Failures:  float64(rapid.IntRange(0, 90).Draw(t, "bad")),
		Ejected:   rapid.Bool().Draw(t, "ejected"),
		Speeds: Speeds{
			PrefillRate:   float64(rapid.IntRange(0, 3).Draw(t, "rate")) * 1000,
			EventInterval: float64(rapid.IntRange(0, 3).Draw(t, "event interval")) / 64,
		},
	}
}

func checkSame(t *rapid.T, name ident.Target, incremental, rebuilt peerAggregate) {
	closeTo := func(a, b float64) bool { return math.Abs(a-b) < 1e-6 }
	same := incremental.Running == rebuilt.Running && incremental.PrefillTokens == rebuilt.PrefillTokens &&
		incremental.KVTokens == rebuilt.KVTokens && incremental.ejectingHosts == rebuilt.ejectingHosts &&
		closeTo(incremental.Successes, rebuilt.Successes) && closeTo(incremental.Failures, rebuilt.Failures) &&
		closeTo(incremental.meanSpeeds().EventInterval, rebuilt.meanSpeeds().EventInterval) &&
		closeTo(incremental.meanSpeeds().PrefillRate, rebuilt.meanSpeeds().PrefillRate)
	if !same {
		t.Errorf("%s: incremental totals %+v, rebuilt %+v", name, incremental, rebuilt)
	}
}
