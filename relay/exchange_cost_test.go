package relay

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/hoststate"
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/loopback"
	"github.com/cornelyard/cornelyard/logging"
	"github.com/cornelyard/cornelyard/quarantine"
	"github.com/cornelyard/cornelyard/quota"
	"github.com/cornelyard/cornelyard/route"
	"github.com/cornelyard/cornelyard/schedule"
)

const (
	costTargets = 40
	costTeams   = 12
	costSlots   = 5
)

// costHost is a host without HTTP: the exchange, the quotas and the dispatcher.
type costHost struct {
	self       hoststate.Member
	quotas     *quota.Limiter
	dispatcher *Dispatcher
	exchange   *hoststate.Exchange
	sequence   int
}

func newCostHost(self hoststate.Member) *costHost {
	h := &costHost{self: self, quotas: quota.NewLimiter(time.Now().Add(-time.Minute), quota.Limits{Window: 8 * time.Second, Overage: 0.1})}
	h.dispatcher = NewDispatcher(DispatcherOptions{
		Scheduler:          schedule.New(schedule.Options{Host: self.Host, DataCentre: self.DataCentre}),
		OnStateChange:      func() { h.exchange.TriggerSend() },
		OnQueue:            func(queued bool) { h.exchange.SetUrgent(queued) },
		ReadStates:         func() { h.exchange.ReadPending() },
		OnHealthEvents:     func([]schedule.HealthEvent) {},
		OnCrashes:          func([]quarantine.Crash) {},
		OnQuarantineEvents: func([]schedule.QuarantineEvent) {},
		OnSuspicionEvents:  func([]schedule.SuspicionEvent) {},
		OnLimitEvents:      func([]schedule.LimitEvent) {},
		OnRateEvents:       func([]schedule.RateEvent) {},
	})
	h.exchange = hoststate.New(hoststate.Options{
		Self: self, Incarnation: 1,
		LocalState: func(now time.Time) hoststate.Message {
			return hoststate.Message{Host: self.Host, Schedule: h.dispatcher.LocalState(now), TeamUsage: h.quotas.HostUsage(now)}
		},
		AggregateState: func(now time.Time) hoststate.Message {
			aggregate, hosts := h.dispatcher.AggregateState(now)
			return hoststate.Message{
				Host: self.Host, AggregateOf: self.DataCentre, AggregatedHosts: hosts, Schedule: aggregate,
				TeamUsage: h.quotas.DataCentreUsage(now),
			}
		},
		OnMessage: h.merge,
		Logger:    logging.New(logging.Options{Output: io.Discard}).For("hoststate"),
	})
	return h
}

func (h *costHost) merge(now time.Time, m hoststate.Message) {
	if m.AggregateOf != "" {
		h.quotas.MergeDataCentre(now, m.AggregateOf, m.Host, m.Incarnation, m.TeamUsage)
		h.dispatcher.ApplyDataCentreState(now, m.AggregateOf, m.AggregatedHosts, m.Schedule)
		return
	}
	h.quotas.MergeHost(now, m.Host, m.Incarnation, m.TeamUsage)
	h.dispatcher.ApplyPeerState(now, m.Host, m.Schedule)
}

// configure applies the table, the targets and the other hosts.
func (h *costHost) configure(table *route.Table, targets *route.TargetSnapshot, members []hoststate.Member) {
	now := time.Now()
	var others []hoststate.Member
	dataCentres := make(map[ident.Host]ident.DataCentre)
	for _, m := range members {
		if m.Host != h.self.Host {
			others = append(others, m)
			dataCentres[m.Host] = m.DataCentre
		}
	}
	peers := hoststate.NewPeerSet(h.self, others)
	h.exchange.SetPeers(peers)
	h.exchange.SetNameIndex(hoststate.NewNameIndex(table, targets))
	h.quotas.SetTeams(table.Teams)
	h.quotas.SetPeers(now, peers.Direct(), peers.AggregatedCounts())
	h.quotas.SetReportIntervals(peers.StateInterval(), peers.AggregateInterval())
	h.dispatcher.Configure(now, table.Pools, targets)
	h.dispatcher.SetStateInterval(max(peers.StateInterval(), peers.AggregateInterval()))
	h.dispatcher.SetPeers(now, dataCentres)
	own, cells := peers.Cell()
	h.dispatcher.SetCell(now, own, cells)
	h.dispatcher.SetDistantHosts(peers.Aggregated())
}

// serve makes requests at random times until ctx is done.
func (h *costHost) serve(ctx context.Context, perSecond float64, teams []*route.Team, requests *sync.WaitGroup) {
	defer requests.Done()
	if perSecond == 0 {
		return
	}
	for {
		timer := time.NewTimer(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		h.sequence++
		requests.Add(1)
		go h.request(ctx, ident.Request(fmt.Sprintf("%s-%d", h.self.Host, h.sequence)), teams[rand.IntN(len(teams))], requests)
	}
}

// request runs one request of 50 to 300 ms.
func (h *costHost) request(ctx context.Context, id ident.Request, team *route.Team, requests *sync.WaitGroup) {
	defer requests.Done()
	h.dispatcher.readStates()
	now := time.Now()
	h.quotas.Admit(now, team, 1)
	action, err := h.dispatcher.acquire(ctx, schedule.Request{
		ID: id, Pool: "p", Team: team.Name, Arrived: now, Objective: now.Add(time.Second),
		Deadline: now.Add(5 * time.Second), AbandonTime: now.Add(5 * time.Second), Retryable: true,
	})
	if _, sent := action.(*schedule.Dispatch); err != nil || !sent {
		return
	}
	time.Sleep(25*time.Millisecond + rand.N(125*time.Millisecond))
	h.dispatcher.recordFirstEvent(id)
	time.Sleep(25*time.Millisecond + rand.N(125*time.Millisecond))
	h.dispatcher.finish(id, schedule.Served)
}

func costTable() (*route.Table, *route.TargetSnapshot) {
	var teams []*route.Team
	for i := range costTeams {
		teams = append(teams, &route.Team{Name: ident.Team(fmt.Sprintf("team-%d", i)), Quota: route.Quota{PerSecond: 1000, Burst: 1000}})
	}
	targets := &route.TargetSnapshot{Targets: make(map[ident.Target]route.Target)}
	for i := range costTargets {
		name := ident.Target(fmt.Sprintf("t-%d", i))
		targets.Targets[name] = route.Target{Name: name, Pool: "p", Slots: costSlots, StartUnixMs: 1}
	}
	return route.NewTable(1, route.Limits{}, nil, []*route.Pool{{Name: "p"}}, teams), targets
}

func costMembers(b *testing.B, hosts, dataCentres int) []hoststate.Member {
	b.Helper()
	var members []hoststate.Member
	for i := range hosts {
		address, err := loopback.FreeAddress()
		if err != nil {
			b.Fatal(err)
		}
		members = append(members, hoststate.Member{
			Host: ident.Host(fmt.Sprintf("host-%d", i)), DataCentre: ident.DataCentre(fmt.Sprintf("dc-%d", i%dataCentres)), Address: address,
		})
	}
	return members
}

// processorTime returns the processor time that this process has used.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var used syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &used); err != nil {
		b.Fatal(err)
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}

// BenchmarkExchange measures the processor time per host and second of hosts in one process
// that exchange their states and dispatch requests to targets that need none. One iteration is
// one second. Run it with -benchtime 5x.
func BenchmarkExchange(b *testing.B) {
	cases := []struct {
		hosts, dataCentres int
		perSecond          float64
	}{{60, 1, 0}, {60, 1, 5}, {60, 3, 0}, {60, 3, 5}, {15, 1, 20}}
	for _, c := range cases {
		b.Run(fmt.Sprintf("hosts=%d/centres=%d/rate=%v", c.hosts, c.dataCentres, c.perSecond), func(b *testing.B) {
			benchmarkExchange(b, costMembers(b, c.hosts, c.dataCentres), c.perSecond)
		})
	}
}

func benchmarkExchange(b *testing.B, members []hoststate.Member, perSecond float64) {
	table, targets := costTable()
	ctx, cancel := context.WithCancel(context.Background())
	var running, requests sync.WaitGroup
	var hosts []*costHost
	for _, m := range members {
		h := newCostHost(m)
		hosts = append(hosts, h)
		h.configure(table, targets, members)
		running.Add(2)
		go func() { defer running.Done(); _ = h.exchange.Run(ctx) }()
		go func() { defer running.Done(); _ = h.dispatcher.Run(ctx) }()
		requests.Add(1)
		go h.serve(ctx, perSecond, table.Teams, &requests)
	}
	time.Sleep(time.Second)
	b.ResetTimer()
	before, receivedBefore := processorTime(b), receivedBy(hosts)
	time.Sleep(time.Duration(b.N) * time.Second)
	used, received := processorTime(b)-before, receivedBy(hosts)-receivedBefore
	b.StopTimer()
	cancel()
	requests.Wait()
	running.Wait()
	b.ReportMetric(float64(used)/float64(time.Millisecond)/float64(b.N)/float64(len(members)), "cpu-ms/host/s")
	b.ReportMetric(float64(received)/float64(b.N)/float64(len(members)), "datagrams/host/s")
	b.ReportMetric(0, "ns/op")
}

// receivedBy returns the number of datagrams that the hosts have received.
func receivedBy(hosts []*costHost) int64 {
	total := int64(0)
	for _, h := range hosts {
		_, received, _ := h.exchange.Traffic(time.Now())
		total += received
	}
	return total
}
