package admission

import (
	"slices"
	"testing"
	"time"
)

func TestOrder(t *testing.T) {
	later := func(r Request, d time.Duration) Request {
		r.Deadline = r.Deadline.Add(d)
		return r
	}
	tests := []struct {
		name     string
		requests []Request
		want     []string
	}{
		{
			name: "higher tier first",
			requests: []Request{
				testRequest("a", "shops", "batch"),
				testRequest("b", "shops", "filing"),
				testRequest("c", "shops", "desk"),
			},
			want: []string{"grant b", "grant c", "grant a"},
		},
		{
			name: "earliest deadline first within a team",
			requests: []Request{
				later(testRequest("a", "shops", "desk"), time.Second),
				testRequest("b", "shops", "desk"),
			},
			want: []string{"grant b", "grant a"},
		},
		{
			name: "teams alternate within a tier",
			requests: []Request{
				testRequest("a", "shops", "desk"),
				testRequest("b", "shops", "desk"),
				later(testRequest("c", "clerks", "desk"), time.Second),
			},
			want: []string{"grant c", "grant a", "grant b"},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newTestScheduler(testConfig(1, 1))
			var got []string
			for _, r := range test.requests {
				s.Enqueue(epoch, r)
			}
			for i := range test.requests {
				now := at(time.Duration(i) * time.Second)
				actions := s.Decide(now)
				got = append(got, describe(actions)...)
				for _, action := range actions {
					s.End(now, End{ID: action.(*Grant).Request.ID, PromptTokens: 100, Tokens: 10, Total: time.Second})
				}
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

func TestQueueLimitShedsLowestTierFirst(t *testing.T) {
	config := testConfig(1, 1)
	config.Pool.MaxQueue = 2
	s := newTestScheduler(config)
	s.Enqueue(epoch, testRequest("running", "shops", "filing"))
	s.Decide(epoch)
	for _, r := range []Request{
		testRequest("a", "shops", "batch"),
		testRequest("b", "shops", "filing"),
		testRequest("c", "shops", "filing"),
	} {
		s.Enqueue(epoch, r)
	}
	got := describe(s.Decide(epoch))
	if want := []string{"refuse a shed"}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}
