package peer

import (
	"bufio"
	"bytes"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/cornelyard/cornelyard/internal/proto/peerpb"
	"github.com/cornelyard/cornelyard/timeline"
)

func TestFrameRoundTripAddsClock(t *testing.T) {
	now := timeline.Timestamp{Wall: 1_800_000_000_000_000_000, Logical: 3}
	sent := &peerpb.Frame{Body: &peerpb.Frame_Cancel{Cancel: &peerpb.Cancel{Pool: "p", Id: "r"}}}
	encoded, err := appendFrame(nil, sent, now, 5)
	if err != nil {
		t.Fatal(err)
	}
	got, err := readFrame(bufio.NewReader(bytes.NewReader(encoded)))
	if err != nil {
		t.Fatal(err)
	}
	want := proto.CloneOf(sent)
	want.ClockWall, want.ClockLogical, want.Number = now.Wall, now.Logical, 5
	if !proto.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	if sent.GetClockWall() != 0 {
		t.Error("the sent frame was modified")
	}
}

func TestHeartbeatSize(t *testing.T) {
	heartbeat := &peerpb.Heartbeat{Incarnation: 1_800_000_000_000_000_000, SettingsVersion: 1 << 20}
	f := &peerpb.Frame{Body: &peerpb.Frame_Heartbeat{Heartbeat: heartbeat}}
	encoded, err := appendFrame(nil, f, timeline.Timestamp{Wall: 1_800_000_000_000_000_000, Logical: 1 << 10}, 1<<32)
	if err != nil {
		t.Fatal(err)
	}
	const limit = 60
	if len(encoded) > limit {
		t.Errorf("a heartbeat takes %d bytes, want at most %d", len(encoded), limit)
	}
}

func TestOversizedFrameIsRejected(t *testing.T) {
	f := &peerpb.Frame{Body: &peerpb.Frame_Cancel{Cancel: &peerpb.Cancel{Id: string(make([]byte, maxFrameBytes))}}}
	if _, err := appendFrame(nil, f, timeline.Timestamp{}, 1); err == nil {
		t.Error("no error for an oversized frame")
	}
}

func FuzzReadFrame(f *testing.F) {
	valid, err := appendFrame(nil, &peerpb.Frame{Body: &peerpb.Frame_Heartbeat{Heartbeat: &peerpb.Heartbeat{
		Incarnation: 1, Members: []*peerpb.Member{{Host: "a"}},
	}}}, timeline.Timestamp{Wall: 1}, 1)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add([]byte{})
	f.Add([]byte{0})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01})
	f.Fuzz(func(t *testing.T, input []byte) {
		frame, err := readFrame(bufio.NewReader(bytes.NewReader(input)))
		if err != nil {
			return
		}
		encoded, err := appendFrame(nil, &peerpb.Frame{Body: frame.GetBody()}, timeline.Timestamp{}, frame.GetNumber())
		if err != nil {
			t.Fatal(err)
		}
		again, err := readFrame(bufio.NewReader(bytes.NewReader(encoded)))
		if err != nil {
			t.Fatal(err)
		}
		again.ClockWall, again.ClockLogical = frame.GetClockWall(), frame.GetClockLogical()
		if !proto.Equal(&peerpb.Frame{Body: frame.GetBody()}, &peerpb.Frame{Body: again.GetBody()}) {
			t.Fatalf("read %v, then %v", frame, again)
		}
	})
}
