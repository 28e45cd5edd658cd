package hoststate

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/proto/hostpb"
	"github.com/cornelyard/cornelyard/route"
	"github.com/cornelyard/cornelyard/schedule"
	"github.com/cornelyard/cornelyard/targetlimit"
)

func TestLimitsSurviveTransmission(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	limited := schedule.TargetLimit{Target: "limited", Claim: 0.25}
	limited.Statement = targetlimit.Statement{Kind: targetlimit.Limited, PerSecond: 1.2}
	limited.Process, limited.At = 7, now.Add(-300*time.Millisecond)
	ended := schedule.TargetLimit{Target: "ended"}
	ended.Kind, ended.At = targetlimit.Unlimited, now
	unheard := schedule.TargetLimit{Target: "unheard", Claim: 2}
	unheard.At = now
	sent := []schedule.TargetLimit{limited, ended, unheard}

	data, err := encode(now, &Message{Host: "h1", Schedule: schedule.State{Limits: sent, Leaving: true}}, 1, 1)
	if err != nil {
		t.Fatal(err)
	}
	state := &hostpb.HostState{}
	if err := proto.Unmarshal(data, state); err != nil {
		t.Fatal(err)
	}
	targets := make(map[ident.Target]route.Target)
	for _, l := range sent {
		targets[l.Target] = route.Target{Name: l.Target}
	}
	got := NewNameIndex(nil, &route.TargetSnapshot{Targets: targets}).decode(now, state)
	if !got.Schedule.Leaving {
		t.Error("the host does not leave any more")
	}
	for i, want := range sent {
		if l := got.Schedule.Limits[i]; l != want {
			t.Errorf("got %+v, want %+v", l, want)
		}
	}
}
