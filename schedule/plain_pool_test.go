package schedule_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/internal/loadmodel"
)

// servedPlain runs a scenario to the end of its last request, with the costs that were measured or with the
// constants.
func servedPlain(setup loadmodel.Scenario, constant bool) loadmodel.Outcome {
	setup.Bursts = append(setup.Bursts, loadmodel.Burst{From: setup.Length, To: time.Hour})
	setup.Length += setup.Classes[0].Deadline
	setup.ConstantDistances = constant
	return loadmodel.Run(setup).Total()
}

// TestPlainRequestsUseSlotsOfOtherDataCentres guards against a data centre that refuses requests or lets
// them wait while another one has free slots: a third of the hosts has 6 and 8 times its usual load in
// turn, 1.6 times what its own target serves and 0.58 and 0.72 of what all of them do. It also guards
// against hosts that all move to the same target, which would have a queue then.
//
// The requirement is that requests go to free slots before they wait or are refused, so with capacity
// left nearly all are on time. The bound of 99 in 100 leaves room for random clusters of arrivals, as at
// the usual load.
func TestPlainRequestsUseSlotsOfOtherDataCentres(t *testing.T) {
	if testing.Short() {
		t.Skip("simulates many seconds in one goroutine; runs without -short")
	}
	for _, factor := range []float64{6, 8} {
		for seed := range uint64(2) {
			t.Run(fmt.Sprintf("%v times, seed %d", factor, seed), func(t *testing.T) {
				constant := servedPlain(loadmodel.ShiftingPlainPool(seed, factor), true)
				o := servedPlain(loadmodel.ShiftingPlainPool(seed, factor), false)
				t.Logf("on time %.4f, late %d, refused %d; with the constants %.4f, %d, %d",
					o.OnTimeRatio(), o.Late, o.Refused, constant.OnTimeRatio(), constant.Late, constant.Refused)
				if o.OnTimeRatio() < 0.99 {
					t.Errorf("%.4f on time, want 0.99", o.OnTimeRatio())
				}
				if o.OnTimeRatio() < constant.OnTimeRatio() {
					t.Errorf("%.4f on time, %.4f with the constants", o.OnTimeRatio(), constant.OnTimeRatio())
				}
			})
		}
	}
}

// TestUniformPlainLoadIsNoLaterThanWithConstants guards against requests that cross data centres for
// nothing: with the same load at all hosts, no more of them may be late or refused than with the
// constants.
func TestUniformPlainLoadIsNoLaterThanWithConstants(t *testing.T) {
	if testing.Short() {
		t.Skip("simulates many seconds in one goroutine; runs without -short")
	}
	for _, factor := range []float64{1, 2, 3} {
		t.Run(fmt.Sprintf("%v times", factor), func(t *testing.T) {
			setup := loadmodel.PlainPool(3)
			setup.Bursts = []loadmodel.Burst{{From: 2 * time.Second, To: 10 * time.Second, Factor: factor}}
			constant, o := servedPlain(setup, true), servedPlain(setup, false)
			t.Logf("late %d, refused %d of %d; with the constants %d and %d", o.Late, o.Refused, o.Arrived, constant.Late, constant.Refused)
			if o.Late+o.Refused > constant.Late+constant.Refused {
				t.Errorf("%d late or refused, %d with the constants", o.Late+o.Refused, constant.Late+constant.Refused)
			}
		})
	}
}
