package hoststate

import (
	"reflect"
	"testing"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/schedule"
	"github.com/cornelyard/cornelyard/streamversion"
)

func streamRecord(key streamversion.Key) streamversion.Record {
	return streamversion.Record{Key: key, Origin: streamversion.Origin{Pool: "p", Version: "1"}}
}

// observed returns a message that holds what hosts report only at intervals.
func observed(target ident.Target, key streamversion.Key) *Message {
	return &Message{
		Schedule: schedule.State{
			Loads:           []schedule.TargetLoad{{Target: target, Running: 1}},
			Observed:        true,
			Observations:    []schedule.Observation{{Target: target, Ejected: true}},
			Demands:         []schedule.Demand{{Pool: "p", ArrivalRate: 1}},
			PrefixLocations: []schedule.PrefixLocation{{Hash: uint64(key), Target: target}},
		},
		Streams: streamversion.Report{
			Records:      []streamversion.Record{streamRecord(key)},
			SoleVersions: []streamversion.SoleVersion{{Pool: "p", Version: "1"}},
		},
	}
}

func TestCoalescedMessageKeepsWhatIsToldOnce(t *testing.T) {
	var c Coalescer
	first := observed("t1", 1)
	c.Add(first)
	c.Add(&Message{
		Schedule: schedule.State{
			Loads:           []schedule.TargetLoad{{Target: "t2", Running: 2}},
			PrefixLocations: []schedule.PrefixLocation{{Hash: 1, Target: "t1"}, {Hash: 2, Target: "t2"}},
		},
		Streams: streamversion.Report{Records: []streamversion.Record{streamRecord(2)}},
	})
	got := c.Take()
	if loads := got.Schedule.Loads; len(loads) != 1 || loads[0].Target != "t2" {
		t.Errorf("loads %v, want those of the last message only", loads)
	}
	if !got.Schedule.Observed || !reflect.DeepEqual(got.Schedule.Observations, first.Schedule.Observations) {
		t.Errorf("the observations of the first message are lost: %+v", got.Schedule)
	}
	if len(got.Schedule.Demands) != 1 || len(got.Streams.SoleVersions) != 1 {
		t.Errorf("the demands or sole versions of the first message are lost: %+v", got)
	}
	if len(got.Schedule.PrefixLocations) != 2 || len(got.Streams.Records) != 2 {
		t.Errorf("prefix locations %v, records %v; want two of each", got.Schedule.PrefixLocations, got.Streams.Records)
	}
}

func TestCoalescedStreamRecordsAreSentTwice(t *testing.T) {
	var c Coalescer
	for key, want := range []int{1, 2, 2} {
		c.Add(observed("t1", streamversion.Key(key)))
		if got := c.Take(); len(got.Streams.Records) != want {
			t.Errorf("message %d has the records %v, want %d", key, got.Streams.Records, want)
		}
	}
}

func TestTakenMessageIsNotRepeated(t *testing.T) {
	var c Coalescer
	c.Add(observed("t1", 1))
	c.Take()
	c.Add(&Message{Schedule: schedule.State{Loads: []schedule.TargetLoad{{Target: "t2"}}}})
	if got := c.Take(); got.Schedule.Observed || got.Schedule.Demands != nil {
		t.Errorf("a message repeats what was taken before: %+v", got.Schedule)
	}
}
