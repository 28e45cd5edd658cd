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

func testNameIndex() *NameIndex {
	table := route.NewTable(1, route.Limits{}, nil, []*route.Pool{{Name: "p"}}, []*route.Team{{Name: "acme"}})
	return NewNameIndex(table, &route.TargetSnapshot{Targets: map[ident.Target]route.Target{"t1": {Name: "t1"}}})
}

func testMessage() Message {
	return Message{
		Host: "b", TableVersion: 7,
		TeamUsage: map[ident.Team]quota.Usage{"acme": {Total: 300, WarmedUp: true, Window: 200, RecentHalf: 100}},
		Schedule: schedule.State{
			Loads:    []schedule.TargetLoad{{Target: "t1", Running: 2, PrefillTokens: 900, KVTokens: 4000}},
			Observed: true,
			Observations: []schedule.Observation{{
				Target: "t1", Successes: 1.5, Failures: 0.5, Ejected: true,
				Speeds: schedule.Speeds{PrefillRate: 50_000, EventInterval: 0.018},
			}},
			Demands:         []schedule.Demand{{Pool: "p", Rank: schedule.Rank{Team: 1, Route: 2}, ArrivalRate: 3.5, MeanSlots: 1.25}},
			Backlogs:        []schedule.Backlog{{Pool: "p", Rank: schedule.Rank{Team: 1, Route: 2}, Count: 3, Laxity: -40 * time.Millisecond, Spread: 30 * time.Millisecond}},
			PrefixLocations: []schedule.PrefixLocation{{Hash: 99, Target: "t1", Tokens: 410}},
		},
	}
}

func decodeBytes(t *testing.T, names *NameIndex, data []byte) Message {
	t.Helper()
	state := &hostpb.HostState{}
	if err := proto.Unmarshal(data, state); err != nil {
		t.Fatal(err)
	}
	return names.decode(time.Now(), state)
}

func TestEncodeDecodeRoundTrip(t *testing.T) {
	want := testMessage()
	data, err := encode(time.Now(), &want, 5, 1)
	if err != nil {
		t.Fatal(err)
	}
	want.Incarnation = 5
	if got := decodeBytes(t, testNameIndex(), data); !reflect.DeepEqual(got, want) {
		t.Errorf("got  %+v\nwant %+v", got, want)
	}
}

func TestDecodeOmitsUnknownNames(t *testing.T) {
	m := testMessage()
	data, err := encode(time.Now(), &m, 5, 1)
	if err != nil {
		t.Fatal(err)
	}
	got := decodeBytes(t, NewNameIndex(nil, nil), data)
	if len(got.TeamUsage)+len(got.Schedule.Loads)+len(got.Schedule.Backlogs)+len(got.Schedule.PrefixLocations) != 0 {
		t.Errorf("got %+v", got)
	}
}

func TestReplayFilterRejectsOldMessages(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	cases := []struct {
		name                  string
		after                 time.Duration
		incarnation, sequence uint64
		want                  bool
	}{
		{"next sequence number", time.Millisecond, 5, 11, true},
		{"duplicate", time.Millisecond, 5, 10, false},
		{"reordered", time.Millisecond, 5, 9, false},
		{"restarted", time.Millisecond, 6, 1, true},
		{"delayed message of the previous process", time.Millisecond, 4, 99, false},
		{"restarted after the clock jumped backwards", time.Second, 4, 1, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			filter := newReplayFilter()
			filter.accept(now, "b", 5, 10)
			if got := filter.accept(now.Add(c.after), "b", c.incarnation, c.sequence); got != c.want {
				t.Errorf("accept returned %v", got)
			}
		})
	}
}

func TestPeerSetSplitsByDataCentreAboveLimit(t *testing.T) {
	self := Member{Host: "a", DataCentre: "near"}
	members := []Member{{Host: "b", DataCentre: "near"}, {Host: "c", DataCentre: "far"}}
	if p := NewPeerSet(self, members); len(p.near) != 2 || len(p.aggregated) != 0 {
		t.Errorf("with 3 hosts: %d direct and %d aggregated peers, want 2 and 0", len(p.Direct()), len(p.aggregated))
	}
	for range fullMeshHosts {
		members = append(members, Member{DataCentre: "far"})
	}
	if p := NewPeerSet(self, members); len(p.Direct()) != 1 || len(p.aggregated) != fullMeshHosts+1 {
		t.Errorf("above the full mesh limit: %d direct and %d aggregated peers", len(p.Direct()), len(p.aggregated))
	}
}

// Checks that each host receives the aggregate of every other data centre from
// aggregateSenders hosts, or from all hosts of a smaller data centre.
func TestAggregateSendersPerHost(t *testing.T) {
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
		for _, receiver := range NewPeerSet(self, others).aggregateReceivers {
			if senders[receiver.Host] == nil {
				senders[receiver.Host] = make(map[ident.DataCentre]int)
			}
			senders[receiver.Host][self.DataCentre]++
		}
	}
	for _, m := range all {
		for dc, size := range sizes {
			want := min(size, aggregateSenders)
			if dc == m.DataCentre {
				want = 0
			}
			if got := senders[m.Host][dc]; got != want {
				t.Errorf("%s receives the aggregate of %s from %d hosts, want %d", m.Host, dc, got, want)
			}
		}
	}
}

// startExchange runs an exchange that puts the messages it receives into the channel.
func startExchange(t *testing.T, self, other Member, received chan<- Message) *Exchange {
	t.Helper()
	e := New(Options{
		Self: self, Incarnation: 1,
		LocalState: func(time.Time) Message {
			m := testMessage()
			m.Host = self.Host
			return m
		},
		OnMessage: func(_ time.Time, m Message) {
			select {
			case received <- m:
			default:
			}
		},
		Logger: logging.New(logging.Options{Output: io.Discard}).For("hoststate"),
	})
	e.SetNameIndex(testNameIndex())
	e.SetPeers(NewPeerSet(self, []Member{other}))
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() {
		if err := e.Run(ctx); err != nil {
			t.Errorf("Run: %v", err)
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

func TestExchangeSendsOnChangeAndHeartbeat(t *testing.T) {
	a, b := Member{Host: "a", Address: freePort(t)}, Member{Host: "b", Address: freePort(t)}
	receivedByA, receivedByB := make(chan Message, 64), make(chan Message, 64)
	startExchange(t, a, b, receivedByA)
	startExchange(t, b, a, receivedByB).TriggerSend()
	for host, received := range map[ident.Host]chan Message{"b": receivedByA, "a": receivedByB} {
		select {
		case m := <-received:
			if m.Host != host || m.Schedule.Loads[0].Running != 2 {
				t.Errorf("received %+v", m)
			}
		case <-time.After(5 * time.Second):
			t.Errorf("no message from %s within 5 s", host)
		}
	}
}
