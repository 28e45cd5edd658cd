package policy

import (
	"reflect"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/internal/chatclient"
	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/settings"
)

func TestJobsFollowTheSeed(t *testing.T) {
	jobs := func(seed uint64) []job {
		return newWorkload(seed, shapes["dakar"], 1, scaledDeadlines).jobs(5 * time.Second)
	}
	if !reflect.DeepEqual(jobs(1), jobs(1)) {
		t.Error("the same seed makes other jobs")
	}
	if reflect.DeepEqual(jobs(1), jobs(2)) {
		t.Error("another seed makes the same jobs")
	}
}

func TestAnswersAreCountedOnce(t *testing.T) {
	refused := func(reason outcome.Reason, status int) chatclient.Response {
		return chatclient.Response{ResponseMetadata: chatclient.ResponseMetadata{Status: status, Reason: reason}}
	}
	tests := []struct {
		name   string
		answer chatclient.Response
		want   Counts
	}{
		{name: "in time", answer: chatclient.Response{Whole: true, Total: time.Second}, want: Counts{Good: 1}},
		{name: "whole but late", answer: chatclient.Response{Whole: true, Total: time.Minute}, want: Counts{Late: 1}},
		{name: "cut at the deadline", answer: refused(outcome.DeadlineExceeded, 200), want: Counts{Late: 1}},
		{name: "refused as too late", answer: refused(outcome.DeadlineExceeded, 504), want: Counts{Expired: 1}},
		{name: "shed", answer: refused(outcome.Shed, 429), want: Counts{Shed: 1}},
		{name: "infeasible", answer: refused(outcome.Infeasible, 504), want: Counts{Infeasible: 1}},
		{
			name:   "preempted in the stream",
			answer: chatclient.Response{ResponseMetadata: chatclient.ResponseMetadata{Status: 200}, Err: &chatclient.APIError{Code: outcome.Preempted}},
			want:   Counts{Preempted: 1},
		},
		{name: "broken", answer: chatclient.Response{}, want: Counts{Failed: 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var got Counts
			*got.of(test.answer, 2*time.Second)++
			if got != test.want {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
		})
	}
}

func TestTargetsCompareWithTheBestBaseline(t *testing.T) {
	result := func(policy settings.Policy, good, top int, wasted float64) Result {
		return Result{
			Policy: policy, Load: overload, WastedPart: wasted,
			Total: TierResult{Counts: Counts{Offered: 100, Good: good}},
			Tiers: []TierResult{{Counts: Counts{Offered: 10, Good: top}}},
		}
	}
	all := targets([]Result{
		result(settings.PolicyRoundRobin, 40, 4, 0.3),
		result(settings.PolicyLateBinding, 50, 5, 0.1),
		result(settings.PolicyPredictive, 55, 10, 0.02),
	})
	want := []bool{true, false, true, true}
	if len(all) != len(want) {
		t.Fatalf("%d targets, want %d", len(all), len(want))
	}
	for i, target := range all {
		if target.Met != want[i] {
			t.Errorf("%v, want met %v", target, want[i])
		}
	}
}
