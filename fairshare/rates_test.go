package fairshare_test

import (
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/fairshare"
)

// TestRatesAreDividedByMaxMinFairness guards against shares in proportion to the demand, and
// against more urgent ranks that leave nothing to others.
func TestRatesAreDividedByMaxMinFairness(t *testing.T) {
	r := fairshare.NewRates()
	small, large, low := fairshare.Key{Team: "small"}, fairshare.Key{Team: "large"}, fairshare.Key{Team: "low", RouteRank: 1}
	// The demand is in seconds over 2 s: 2, 30 and 8 slots.
	others := map[fairshare.Key]fairshare.Load{small: {Used: 4}, large: {Used: 10, Queued: 50}, low: {Queued: 16}}
	if r.Divide(start, 10, others, 1) {
		t.Error("all demand is granted, want less")
	}
	if f := r.Fraction(small); f != 1 {
		t.Errorf("%.3f of the small team's demand is granted, want all", f)
	}
	if f := r.Fraction(low); f < r.GrantedShare()/4-1e-9 {
		t.Errorf("%.3f of the lower rank's demand is granted, want a quarter of %.3f", f, r.GrantedShare())
	}
	if granted := 2 + 30*r.Fraction(large) + 8*r.Fraction(low); granted < 10-1e-6 || granted > 10+1e-6 {
		t.Errorf("%.3f slots granted, want all 10", granted)
	}
	if !r.Divide(start.Add(time.Second), 40, others, 1) || r.Fraction(large) != 1 {
		t.Error("not all demand is granted although it fits")
	}
}

// TestDemandIsForgottenSoonAfterABurst guards against refusals that go on after it.
func TestDemandIsForgottenSoonAfterABurst(t *testing.T) {
	r := fairshare.NewRates()
	key := fairshare.Key{Team: "a"}
	for i := range 100 {
		r.Record(start.Add(time.Duration(i)*10*time.Millisecond), key, 0.03)
	}
	// The burst needs three slots.
	if r.Divide(start.Add(time.Second), 1, nil, 1) {
		t.Error("all demand of the burst is granted, want a third")
	}
	if !r.Divide(start.Add(1500*time.Millisecond), 1, nil, 1) {
		t.Error("demand is not granted 0.5 s after the burst")
	}
}
