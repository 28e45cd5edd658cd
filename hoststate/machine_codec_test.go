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

// Guards against statements that reach other hosts without their age or their process.
func TestMachineStatesSurviveTransmission(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	sent := []schedule.MachineState{
		{TargetProcess: schedule.TargetProcess{Target: "t", StartUnixMs: 7}, Percent: 250, At: now.Add(-300 * time.Millisecond)},
		{TargetProcess: schedule.TargetProcess{Target: "unknown", StartUnixMs: 7}, Percent: 250, At: now},
	}
	data, err := encode(now, &Message{Host: "h1", Schedule: schedule.State{MachineStates: sent}}, 1, 1)
	if err != nil {
		t.Fatal(err)
	}
	state := &hostpb.HostState{}
	if err := proto.Unmarshal(data, state); err != nil {
		t.Fatal(err)
	}
	table := route.NewTable(1, route.Limits{}, nil, nil, nil)
	targets := &route.TargetSnapshot{Targets: map[ident.Target]route.Target{"t": {Name: "t", Pool: "p"}}}
	if got := NewNameIndex(table, targets).decode(now, state).Schedule.MachineStates; !reflect.DeepEqual(got, sent[:1]) {
		t.Errorf("got %+v, want %+v", got, sent[:1])
	}
}
