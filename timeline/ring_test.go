package timeline

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/cornelyard/cornelyard/ident"
)

// stepClock returns a clock whose wall time advances by 1 ns at each reading.
func stepClock(start int64) *Clock {
	wall := start
	return NewClockFrom(func() int64 {
		wall++
		return wall
	})
}

func filledRing(size, events int) *Ring {
	r := NewRing(RingOptions{Host: "a", Clock: stepClock(0), Capacity: size})
	for i := range events {
		r.Record(Event{Kind: Queued, Request: ident.Request(fmt.Sprintf("r%d", i%2))})
	}
	return r
}

func sequences(events []Event) []uint64 {
	var s []uint64
	for _, e := range events {
		s = append(s, e.Sequence)
	}
	return s
}

func TestRingEvents(t *testing.T) {
	for _, c := range []struct {
		name         string
		size, events int
		since        Timestamp
		request      ident.Request
		limit        int
		want         []uint64
		dropped      uint64
	}{
		{name: "empty", size: 4},
		{name: "not full", size: 4, events: 3, want: []uint64{1, 2, 3}},
		{name: "just full", size: 4, events: 4, want: []uint64{1, 2, 3, 4}},
		{name: "overwritten", size: 4, events: 11, want: []uint64{8, 9, 10, 11}, dropped: 7},
		{name: "since", size: 4, events: 11, since: Timestamp{Wall: 9}, want: []uint64{10, 11}, dropped: 7},
		{name: "since the end", size: 4, events: 4, since: Timestamp{Wall: 4}},
		{name: "limit", size: 4, events: 11, limit: 2, want: []uint64{8, 9}, dropped: 7},
		{name: "one request", size: 4, events: 11, request: "r1", want: []uint64{8, 10}, dropped: 7},
		{name: "one request and limit", size: 4, events: 11, request: "r1", limit: 1, want: []uint64{8}, dropped: 7},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := filledRing(c.size, c.events)
			if got := sequences(r.Events(c.since, c.request, c.limit)); !reflect.DeepEqual(got, c.want) {
				t.Errorf("events %v, want %v", got, c.want)
			}
			if got := r.Dropped(); got != c.dropped {
				t.Errorf("dropped %d, want %d", got, c.dropped)
			}
		})
	}
}

func TestRingKeepsEveryField(t *testing.T) {
	r := NewRing(RingOptions{Host: "a", Clock: stepClock(7)})
	want := Event{
		Time: Timestamp{Wall: 8}, Host: "a", Sequence: 1, Kind: Granted,
		Request: "r", Dispatch: "d", Team: "team", Tier: "tier", Pool: "pool", Target: "target",
		Peer: "b", Version: 9, Detail: "x",
	}
	r.Record(want)
	got := r.Events(Timestamp{}, "", 0)
	if len(got) != 1 || got[0] != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	v := reflect.ValueOf(want)
	for i := range v.NumField() {
		if v.Field(i).IsZero() {
			t.Errorf("the test does not set the field %s", v.Type().Field(i).Name)
		}
	}
}

func TestRingTruncatesLongDetails(t *testing.T) {
	r := NewRing(RingOptions{Host: "a"})
	r.Record(Event{Kind: Refused, Detail: strings.Repeat("x", 10*maxDetailBytes)})
	if got := len(r.Events(Timestamp{}, "", 0)[0].Detail); got != maxDetailBytes {
		t.Errorf("detail of %d bytes, want %d", got, maxDetailBytes)
	}
}

func TestMerge(t *testing.T) {
	a := []Event{
		{Time: Timestamp{Wall: 1}, Host: "a", Sequence: 1},
		{Time: Timestamp{Wall: 3, Logical: 1}, Host: "a", Sequence: 2},
	}
	b := []Event{
		{Time: Timestamp{Wall: 1}, Host: "b", Sequence: 1},
		{Time: Timestamp{Wall: 3}, Host: "b", Sequence: 2},
	}
	want := []Event{a[0], b[0], b[1], a[1]}
	if got := Merge(a, b, a); !reflect.DeepEqual(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

func TestWriteTextAndJSONLines(t *testing.T) {
	events := []Event{{
		Time: Timestamp{Wall: 1_500_000_000, Logical: 2}, Host: "a", Sequence: 4, Kind: Refused,
		Request: "r1", Team: "desk", Detail: "no room",
	}}
	var text, lines bytes.Buffer
	if err := WriteText(&text, events); err != nil {
		t.Fatal(err)
	}
	want := `1970-01-01T00:00:01.500000Z+2 a            #4      refused          request=r1 team=desk detail="no room"` + "\n"
	if text.String() != want {
		t.Errorf("got %q, want %q", text.String(), want)
	}
	if err := WriteJSONLines(&lines, events); err != nil {
		t.Fatal(err)
	}
	var read Event
	if err := json.Unmarshal(lines.Bytes(), &read); err != nil || read != events[0] {
		t.Errorf("read back %+v, %v", read, err)
	}
}
