package entry

import (
	"testing"
	"time"
)

func TestProgressIsReportedWhenThePaceChanges(t *testing.T) {
	const gap = 40 * time.Millisecond
	began := time.Now()
	at := func(d time.Duration) time.Time { return began.Add(d) }
	tests := []struct {
		name string
		// tokens arrived since the last report, the last of them lastAgo before
		// the look, which comes elapsed after the report.
		tokens  int
		lastAgo time.Duration
		elapsed time.Duration
		want    bool
	}{
		{name: "steady pace", tokens: 10, elapsed: 10 * gap, want: false},
		{name: "steady pace for the whole interval", tokens: 25, elapsed: 25 * gap, want: true},
		{name: "slower", tokens: 2, elapsed: 4 * gap, want: true},
		{name: "faster", tokens: 10, elapsed: 5 * gap, want: true},
		{name: "no token for longer than a gap", lastAgo: 2 * gap, elapsed: 2 * gap, want: true},
		{name: "no token yet, within a gap", lastAgo: gap, elapsed: gap, want: false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := &progress{
				stream: true, dispatchedAt: began, tokens: 5 + test.tokens, reportedTokens: 5,
				reportedTokenTime: at(0), lastReport: at(0), reportedGap: gap, lastTokenTime: at(test.elapsed - test.lastAgo),
			}
			if got := p.reportDue(at(test.elapsed)); got != test.want {
				t.Errorf("due is %v, want %v", got, test.want)
			}
		})
	}
}
