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

// TestLowerTeamsKeepHalfOfTheMean guards against long streams of urgent teams that take the place of
// all requests of the others, and against routes of one team that are granted alike.
func TestLowerTeamsKeepHalfOfTheMean(t *testing.T) {
	r := fairshare.NewRates()
	urgent := fairshare.Key{Team: "urgent", RouteRank: 2}
	draft, chat := fairshare.Key{Team: "other", TeamRank: 1}, fairshare.Key{Team: "other", TeamRank: 1, RouteRank: 2}
	// The demand is in seconds over 2 s: 20, 10 and 10 slots.
	others := map[fairshare.Key]fairshare.Load{urgent: {Queued: 40}, draft: {Queued: 20}, chat: {Queued: 20}}
	r.Divide(start, 16, others, 1)
	mean := 16.0 / 40
	if lower := (r.Fraction(draft) + r.Fraction(chat)) / 2; lower < mean/2-1e-9 {
		t.Errorf("%.3f of the demand of the lower team is granted, want half of %.3f", lower, mean)
	}
	if r.Fraction(urgent) <= r.Fraction(draft) || r.Fraction(draft) <= r.Fraction(chat) {
		t.Errorf("granted %.3f, %.3f and %.3f, want less for each lower rank", r.Fraction(urgent), r.Fraction(draft), r.Fraction(chat))
	}
	if granted := 20*r.Fraction(urgent) + 10*r.Fraction(draft) + 10*r.Fraction(chat); granted < 16-1e-6 || granted > 16+1e-6 {
		t.Errorf("%.3f slots granted, want all 16", granted)
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
