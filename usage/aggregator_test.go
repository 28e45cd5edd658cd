package usage

import (
	"testing"
	"time"
)

var start = time.Date(2030, time.January, 1, 0, 0, 0, 0, time.UTC)

func TestSumCountsEachIncarnationOnce(t *testing.T) {
	key := Key{Team: "shops", Tier: "filing", Pool: "drafting"}
	other := NewAggregator(Options{Host: "host-2", Incarnation: 1})
	other.Add(key, Counters{Queued: 2, Tokens: 10})
	first := other.Report(start)
	other.Add(key, Counters{Queued: 1, Tokens: 5})
	second := other.Report(start.Add(time.Second))
	restarted := NewAggregator(Options{Host: "host-2", Incarnation: 2})
	restarted.Add(key, Counters{Queued: 4})
	third := restarted.Report(start.Add(2 * time.Second))

	tests := []struct {
		name    string
		reports []Report
		want    uint64
	}{
		{name: "own only", want: 1},
		{name: "one report", reports: []Report{first}, want: 3},
		{name: "the same report twice", reports: []Report{first, first}, want: 3},
		{name: "a newer report replaces", reports: []Report{first, second}, want: 4},
		{name: "an older report is ignored", reports: []Report{second, first}, want: 4},
		{name: "a restarted host adds", reports: []Report{second, third}, want: 8},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			aggregator := NewAggregator(Options{Host: "host-1", Incarnation: 7})
			aggregator.Add(key, Counters{Queued: 1})
			aggregator.Merge(aggregator.Report(start))
			for _, report := range test.reports {
				aggregator.Merge(report)
			}
			summary := aggregator.Summarize(start)
			if len(summary.Rows) != 1 || summary.Rows[0].Queued != test.want {
				t.Errorf("got %+v, want %d queued in one row", summary.Rows, test.want)
			}
		})
	}
}

func TestFoldedReportsStayInTheSum(t *testing.T) {
	key := Key{Team: "shops", Tier: "filing", Pool: "drafting"}
	aggregator := NewAggregator(Options{Host: "host-1", Incarnation: 1})
	count := maxRemoteReports + 10
	for i := range count {
		other := NewAggregator(Options{Host: "host-2", Incarnation: uint64(i + 1)})
		other.Add(key, Counters{Queued: 1})
		aggregator.Merge(other.Report(start.Add(time.Duration(i) * time.Second)))
	}
	first := NewAggregator(Options{Host: "host-2", Incarnation: 1})
	first.Add(key, Counters{Queued: 1})
	aggregator.Merge(first.Report(start.Add(time.Hour)))
	summary := aggregator.Summarize(start)
	if got := summary.Rows[0].Queued; got != uint64(count) {
		t.Errorf("got %d queued, want %d", got, count)
	}
}
