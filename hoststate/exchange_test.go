package hoststate

import (
	"context"
	"fmt"
	"io"
	"reflect"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/loopback"
	"github.com/cornelyard/cornelyard/internal/proto/hostpb"
	"github.com/cornelyard/cornelyard/logging"
	"github.com/cornelyard/cornelyard/quota"
	"github.com/cornelyard/cornelyard/route"
	"github.com/cornelyard/cornelyard/schedule"
)

func directory() *Directory {
	table := route.NewTable(1, route.Limits{}, nil, []*route.Pool{{Name: "p"}}, []*route.Team{{Name: "acme"}})
	return NewDirectory(table, &route.Roster{Targets: map[ident.Target]route.Target{"t1": {Name: "t1"}}})
}

func message() Message {
	return Message{
		Host: "b", TableVersion: 7,
		Uses: map[ident.Team]quota.Use{"acme": {Total: 300, Settled: true, Window: 200, Half: 100}},
		Schedule: schedule.State{
			Loads:    []schedule.TargetLoad{{Target: "t1", Running: 2, PrefillTokens: 900, KVTokens: 4000}},
			Observed: true,
			Observations: []schedule.Observation{{
				Target: "t1", Successes: 1.5, Failures: 0.5, Ejected: true,
				Speeds: schedule.Speeds{PrefillRate: 50_000, EventInterval: 0.018},
			}},
			Demands:         []schedule.Demand{{Pool: "p", Rank: schedule.Rank{Team: 1, Route: 2}, ArrivalRate: 3.5, MeanSlots: 1.25}},
			Backlogs:        []schedule.Backlog{{Pool: "p", Rank: schedule.Rank{Team: 1, Route: 2}, Count: 3, Slack: -40 * time.Millisecond, Spread: 30 * time.Millisecond}},
			PrefixLocations: []schedule.PrefixLocation{{Hash: 99, Target: "t1"}},
		},
	}
}

func decodeBytes(t *testing.T, d *Directory, data []byte) Message {
	t.Helper()
	state := &hostpb.HostState{}
	if err := proto.Unmarshal(data, state); err != nil {
		t.Fatal(err)
	}
	return d.decode(state)
}

func TestMessageSurvivesItsEncoding(t *testing.T) {
	want := message()
	data, err := encode(&want, 5, 1)
	if err != nil {
		t.Fatal(err)
	}
	want.Incarnation = 5
	if got := decodeBytes(t, directory(), data); !reflect.DeepEqual(got, want) {
		t.Errorf("got  %+v\nwant %+v", got, want)
	}
}

func TestUnknownNamesAreLeftOut(t *testing.T) {
	m := message()
	data, err := encode(&m, 5, 1)
	if err != nil {
		t.Fatal(err)
	}
	got := decodeBytes(t, NewDirectory(nil, nil), data)
	if len(got.Uses)+len(got.Schedule.Loads)+len(got.Schedule.Backlogs)+len(got.Schedule.PrefixLocations) != 0 {
		t.Errorf("got %+v", got)
	}
}

func TestOldMessagesAreNotTaken(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	cases := []struct {
		name                  string
		after                 time.Duration
		incarnation, sequence uint64
		want                  bool
	}{
		{"next", time.Millisecond, 5, 11, true},
		{"the same again", time.Millisecond, 5, 10, false},
		{"overtaken", time.Millisecond, 5, 9, false},
		{"restarted", time.Millisecond, 6, 1, true},
		{"left over from before a restart", time.Millisecond, 4, 99, false},
		{"restarted with a clock that jumped back", time.Second, 4, 1, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			book := newSenderBook()
			book.admit(now, "b", 5, 10)
			if got := book.admit(now.Add(c.after), "b", c.incarnation, c.sequence); got != c.want {
				t.Errorf("taken is %v", got)
			}
		})
	}
}

func TestFarHostsAreToldLess(t *testing.T) {
	self := Member{Host: "a", DataCentre: "near"}
	members := []Member{{Host: "b", DataCentre: "near"}, {Host: "c", DataCentre: "far"}}
	if g := NewGroup(self, members); len(g.near) != 2 || len(g.far) != 0 {
		t.Errorf("of few hosts %d are near and %d far", len(g.near), len(g.far))
	}
	for range nearHosts {
		members = append(members, Member{DataCentre: "far"})
	}
	if g := NewGroup(self, members); len(g.near) != 1 || len(g.far) != nearHosts+1 {
		t.Errorf("of many hosts %d are near and %d far", len(g.near), len(g.far))
	}
}

// TestEachHostGetsTheSumOfEachDataCentre counts the senders of each host, also when
// data centres differ in size, and what a host has to send.
func TestEachHostGetsTheSumOfEachDataCentre(t *testing.T) {
	sizes := map[ident.DataCentre]int{"a": 15, "b": 16, "c": 3, "d": 1}
	var all []Member
	for dc, size := range sizes {
		for i := range size {
			all = append(all, Member{Host: ident.Host(fmt.Sprintf("%s-%d", dc, i)), DataCentre: dc})
		}
	}
	senders := make(map[ident.Host]map[ident.DataCentre]int)
	for i, self := range all {
		others := slices.Delete(slices.Clone(all), i, i+1)
		for _, partner := range NewGroup(self, others).partners {
			if senders[partner.Host] == nil {
				senders[partner.Host] = make(map[ident.DataCentre]int)
			}
			senders[partner.Host][self.DataCentre]++
		}
	}
	for _, m := range all {
		for dc, size := range sizes {
			want := min(size, sumSenders)
			if dc == m.DataCentre {
				want = 0
			}
			if got := senders[m.Host][dc]; got != want {
				t.Errorf("%s gets the sum of %s from %d hosts, not %d", m.Host, dc, got, want)
			}
		}
	}
}

// startExchange runs an exchange whose messages go to the channel.
func startExchange(t *testing.T, self, other Member, taken chan<- Message) *Exchange {
	t.Helper()
	e := New(Options{
		Self: self, Incarnation: 1,
		Compose: func(time.Time) Message {
			m := message()
			m.Host = self.Host
			return m
		},
		Take: func(_ time.Time, m Message) {
			select {
			case taken <- m:
			default:
			}
		},
		Logger: logging.New(logging.Options{Output: io.Discard}).For("hoststate"),
	})
	e.SetDirectory(directory())
	e.SetGroup(NewGroup(self, []Member{other}))
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() {
		if err := e.Run(ctx); err != nil {
			t.Errorf("the exchange ended with %v", err)
		}
	}()
	return e
}

func freePort(t *testing.T) string {
	t.Helper()
	address, err := loopback.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

func TestHostsHearOfChangesAndHeartbeats(t *testing.T) {
	a, b := Member{Host: "a", Address: freePort(t)}, Member{Host: "b", Address: freePort(t)}
	heardByA, heardByB := make(chan Message, 64), make(chan Message, 64)
	startExchange(t, a, b, heardByA)
	startExchange(t, b, a, heardByB).Changed()
	for name, heard := range map[ident.Host]chan Message{"b": heardByA, "a": heardByB} {
		select {
		case m := <-heard:
			if m.Host != name || m.Schedule.Loads[0].Running != 2 {
				t.Errorf("heard %+v", m)
			}
		case <-time.After(5 * time.Second):
			t.Errorf("%s is never heard", name)
		}
	}
}
