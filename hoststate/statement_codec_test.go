package hoststate

import (
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/proto/hostpb"
	"github.com/cornelyard/cornelyard/route"
	"github.com/cornelyard/cornelyard/schedule"
)

func TestCutOffPoolsAndStatementsOfTargetsSurviveTransmission(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	sent := schedule.State{
		CutOff:         []ident.Pool{"p"},
		LeavingTargets: []schedule.TargetProcess{{Target: "t", StartUnixMs: 7}},
		BrittleTargets: []schedule.BrittleTarget{{TargetProcess: schedule.TargetProcess{Target: "t", StartUnixMs: 7}, At: now.Add(-time.Second)}},
		MachineStates: []schedule.MachineState{
			{TargetProcess: schedule.TargetProcess{Target: "t", StartUnixMs: 7}, Percent: 250, At: now.Add(-300 * time.Millisecond)},
		},
	}
	data, err := encode(now, &Message{Host: "h1", Schedule: sent}, 1, 1)
	if err != nil {
		t.Fatal(err)
	}
	state := &hostpb.HostState{}
	if err := proto.Unmarshal(data, state); err != nil {
		t.Fatal(err)
	}
	table := route.NewTable(1, route.Limits{}, nil, []*route.Pool{{Name: "p"}}, nil)
	targets := &route.TargetSnapshot{Targets: map[ident.Target]route.Target{"t": {Name: "t", Pool: "p"}}}
	got := NewNameIndex(table, targets).decode(now, state).Schedule
	if !reflect.DeepEqual(got.CutOff, sent.CutOff) || !reflect.DeepEqual(got.LeavingTargets, sent.LeavingTargets) ||
		!reflect.DeepEqual(got.BrittleTargets, sent.BrittleTargets) || !reflect.DeepEqual(got.MachineStates, sent.MachineStates) {
		t.Errorf("got %+v, want %+v", got, sent)
	}
}
