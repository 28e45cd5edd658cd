package targetlimit

import (
	"math/rand/v2"
	"testing"
	"time"
)

var epoch = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func TestPacerMakesUpForLatenessByHalfAnInterval(t *testing.T) {
	var p Pacer
	p.SetRate(epoch, 2, 2)
	sent := 0
	now := epoch
	for ; now.Before(epoch.Add(10 * time.Second)); now = now.Add(10 * time.Millisecond) {
		if now.After(epoch.Add(4*time.Second)) && now.Before(epoch.Add(6*time.Second)) {
			continue
		}
		if p.Ready(now) {
			p.RecordSent(now)
			sent++
		}
	}
	if sent != 17 {
		t.Errorf("%d requests in ten seconds with a pause of two, want 17", sent)
	}
}

func TestHostThatBecomesKeeperWaits(t *testing.T) {
	var p Pacer
	if _, ok := p.Wait(epoch); ok || p.Ready(epoch) {
		t.Error("a host without a rate may send")
	}
	for range 3 {
		p.SetRate(epoch, 0, 1)
		p.SetRate(epoch, 0.5, 1)
		if p.Ready(epoch.Add(900 * time.Millisecond)) {
			t.Error("a new keeper may send at once")
		}
	}
	if !p.Ready(epoch.Add(time.Second)) {
		t.Error("a keeper may not send after an interval of the limit")
	}
}

func TestRequestsOfAPacerInAnyWindowAreBounded(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, rate := range []float64{0.25, 1, 8} {
		var p Pacer
		p.SetRate(epoch, rate, rate)
		var sent []time.Time
		for now := epoch; now.Before(epoch.Add(10 * time.Minute)); now = now.Add(time.Duration(random.Int64N(int64(time.Second)))) {
			if p.Ready(now) {
				p.RecordSent(now)
				sent = append(sent, now)
			}
		}
		for i, from := range sent {
			count := 0
			for _, at := range sent[i:] {
				if at.Sub(from) < 4*time.Second {
					count++
				}
			}
			if most := int(4*rate+maxCredit) + 1; count > most {
				t.Fatalf("rate %f: %d requests in four seconds, want at most %d", rate, count, most)
			}
		}
	}
}

func TestObservationOfNewestProcessIsInForce(t *testing.T) {
	limited := func(process int64, after time.Duration, perSecond float64) Observation {
		return Observation{Statement: Statement{Kind: Limited, PerSecond: perSecond}, Process: process, At: epoch.Add(after)}
	}
	var o Observation
	steps := []struct {
		other   Observation
		changed bool
		want    float64
	}{
		{limited(1, time.Second, 2), true, 2},
		{limited(1, 0, 9), false, 2},
		{Observation{Process: 1, At: epoch.Add(2 * time.Second)}, false, 2},
		{limited(1, 2*time.Second, 2), false, 2},
		{limited(1, 3*time.Second, 1), true, 1},
		{limited(2, 0, 3), true, 3},
		{limited(1, time.Minute, 9), false, 3},
		{Observation{Statement: Statement{Kind: Unlimited}, Process: 2, At: epoch.Add(time.Minute)}, true, 0},
	}
	for i, step := range steps {
		if changed := o.Merge(step.other); changed != step.changed || o.InForce().PerSecond != step.want {
			t.Errorf("step %d: changed %v, limit %f, want %v and %f", i, changed, o.InForce().PerSecond, step.changed, step.want)
		}
	}
}

func TestTargetThatTakesNothingIsAskedNowAndThen(t *testing.T) {
	var p Pacer
	rate := Rate("t", 0, 1, "h", []Candidate{{Host: "h", ArrivalRate: 10}})
	p.SetRate(epoch, rate, 0)
	if wait, ok := p.Wait(epoch); !ok || wait > 5*time.Second {
		t.Errorf("the first request may be sent after %s, %v, want 5 s", wait, ok)
	}
}
