package schedule_test

import (
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/internal/loadmodel"
)

// overloadedPool returns a pool of 71 hosts and the engines of sharedPool with a load, in requests
// per second, that ends after 4 s; the engines serve 200.
func overloadedPool(perSecond float64) loadmodel.Scenario {
	s := sharedPool(1)
	s.Hosts, s.FarPeerStateInterval = 71, 205*time.Millisecond
	s.Classes = s.Classes[:1]
	s.Classes[0].PerSecond = perSecond
	s.Length = 4*time.Second + s.Classes[0].Deadline
	s.Bursts = []loadmodel.Burst{{From: 4 * time.Second, To: time.Hour}}
	return s
}

// TestCallersThatReturnAsToldAreServed guards against a Retry-After that reserves no capacity: 1.3
// times the capacity for 3 s after 1 s below it. Callers return to other hosts.
func TestCallersThatReturnAsToldAreServed(t *testing.T) {
	setup := overloadedPool(160)
	setup.Bursts = append(setup.Bursts, loadmodel.Burst{From: time.Second, To: 4 * time.Second, Factor: 1.3 * 200 / 160})
	o := loadmodel.Run(setup).Total()
	setup.NoSharedClock = true
	without := loadmodel.Run(setup).Total()
	t.Logf("with reservations %+v, without %+v", o, without)
	if o.Reserved == 0 || float64(o.ReservedServed) < 0.9*float64(o.Reserved) {
		t.Errorf("%d of %d callers with a reservation served, want nine in ten", o.ReservedServed, o.Reserved)
	}
	if o.Refused >= without.Refused {
		t.Errorf("%d callers not served with reservations, %d without, want fewer", o.Refused, without.Refused)
	}
}

// TestCallersThatReturnAtOnceGainNothing guards against refusals that are drawn anew for each
// attempt: half of the callers return 20 ms after each refusal, ten times.
func TestCallersThatReturnAtOnceGainNothing(t *testing.T) {
	setup := overloadedPool(200)
	impatient := setup.Classes[0]
	setup.Classes[0].Name, impatient.Name, impatient.RetriesAtOnce = "patient", "impatient", 10
	setup.Classes = append(setup.Classes, impatient)
	report := loadmodel.Run(setup)
	p, i := report.Classes["patient"], report.Classes["impatient"]
	t.Logf("patient %+v, impatient %+v", *p, *i)
	if i.ServedRatio() > p.ServedRatio() {
		t.Errorf("%.3f of the callers that return at once served, %.3f of the others", i.ServedRatio(), p.ServedRatio())
	}
}
