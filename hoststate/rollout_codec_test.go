package hoststate

import (
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cornelyard/cornelyard/internal/proto/hostpb"
	"github.com/cornelyard/cornelyard/rollout"
	"github.com/cornelyard/cornelyard/route"
)

// Hosts that lose a field of a rollout would judge or step differently from its sender.
func TestRolloutsSurviveTransmission(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	durations := rollout.Durations{Count: 2, LogSum: -1.5, LogSquares: 2.25}
	sent := []Rollout{{
		Pool: "p",
		Progress: rollout.Progress{
			Order: rollout.OrderID{Era: 2, Row: 9}, Version: "v2", Phase: rollout.RolledBack, Step: 3, ShareMilli: 80, StartedMs: -7,
		},
		Report: rollout.Report{
			{Route: 5, Side: rollout.New}: {Dispatched: 4, Successes: 2, Failures: 1, FirstEvents: durations, Intervals: durations},
			{Route: 5, Side: rollout.Old}: {Dispatched: 40, Successes: 39, FirstEvents: durations},
		},
	}}
	data, err := encode(now, &Message{Host: "h1", Rollouts: sent}, 1, 1)
	if err != nil {
		t.Fatal(err)
	}
	state := &hostpb.HostState{}
	if err := proto.Unmarshal(data, state); err != nil {
		t.Fatal(err)
	}
	index := NewNameIndex(route.NewTable(1, route.Limits{}, nil, []*route.Pool{{Name: "p"}}, nil), nil)
	if got := index.decode(now, state).Rollouts; !reflect.DeepEqual(got, sent) {
		t.Errorf("got %+v, want %+v", got, sent)
	}
}

// Guards against hosts that take a share for confirmed, or a host that lost the store for one that
// can decide, and against hosts of earlier builds, which know only a share of zero, that use it.
func TestConfirmationsSurviveTransmission(t *testing.T) {
	for _, confirmation := range []Confirmation{Confirmed, Unconfirmed, StoreLost} {
		for _, step := range []int{0, 4} {
			sent := Rollout{
				Progress:     rollout.Progress{Version: "v2", Phase: rollout.InProgress, Step: step, ShareMilli: 40 * step},
				Confirmation: confirmation,
			}
			progress := decodeProgress(encodeRollout(&sent), rollout.InProgress)
			want := confirmation
			if want == Confirmed && step == 0 {
				want = Unconfirmed // before the first step there is no share
			}
			if got := decodeConfirmation(&progress); got != want || got != Confirmed && progress.ShareMilli != 0 {
				t.Errorf("step %d, confirmation %d: got %d with %+v", step, confirmation, got, progress)
			}
		}
	}
}
