package pool

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/cornelyard/cornelyard/admission"
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/membership"
	"github.com/cornelyard/cornelyard/peer"
	"github.com/cornelyard/cornelyard/settings"
	"github.com/cornelyard/cornelyard/storage"
	"github.com/cornelyard/cornelyard/timeline"
	"github.com/cornelyard/cornelyard/usage"
)

const (
	testPool     ident.Pool       = "rota"
	testCentre   ident.DataCentre = "dakar-1"
	remoteCentre ident.DataCentre = "dakar-2"
	waitLimit                     = 20 * time.Second
)

// fakeSystem runs the clients and managers of several hosts over a fake network.
type fakeSystem struct {
	t       *testing.T
	network *fakeNetwork
	hosts   []*fakeHost
}

type fakeHost struct {
	name    ident.Host
	members *fakeMembers
	client  *Client
	manager *Manager
	stop    context.CancelFunc
}

type fixedSettings struct{ snapshot *settings.Snapshot }

func (f fixedSettings) Current() *settings.Snapshot { return f.snapshot }
func (f fixedSettings) Changed() <-chan struct{}    { return nil }

type emptyHostSource struct{}

func (emptyHostSource) Entries() []storage.HostEntry { return nil }
func (emptyHostSource) Changed() <-chan struct{}     { return nil }

type failingLoadReader struct{}

func (failingLoadReader) Load(context.Context, settings.Target) (admission.LoadReport, error) {
	return admission.LoadReport{}, errors.New("no report")
}

// testSnapshot declares one pool with the given slots in testCentre.
func testSnapshot(slots ...int) *settings.Snapshot {
	tiers := []*settings.Tier{
		{Name: "filing", Rank: 0, DefaultDeadline: settings.Duration(time.Minute)},
		{Name: "batch", Rank: 1, DefaultDeadline: settings.Duration(time.Minute)},
	}
	pools := []*settings.Pool{{Name: testPool, Kind: settings.EnginePool, Model: "rota", MaxQueue: 100}}
	var targets []*settings.Target
	for i, n := range slots {
		targets = append(targets, &settings.Target{
			Name:       ident.Target("t" + string(rune('0'+i))),
			Pool:       testPool,
			DataCentre: testCentre,
			Address:    "127.0.0.1:1",
			Slots:      n,
		})
	}
	return settings.NewSnapshot(1, tiers, pools, targets, nil)
}

func newFakeSystem(t *testing.T, snapshot *settings.Snapshot, members ...membership.Member) *fakeSystem {
	s := &fakeSystem{t: t, network: newFakeNetwork()}
	for _, m := range members {
		s.add(snapshot, m.Host, members)
	}
	t.Cleanup(s.close)
	return s
}

func (s *fakeSystem) add(snapshot *settings.Snapshot, name ident.Host, members []membership.Member) {
	fm := newFakeMembers(name, members)
	sender := fakeSender{network: s.network, host: name}
	logger := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	client := NewClient(ClientOptions{
		Members:  fm,
		Settings: fixedSettings{snapshot},
		Hosts:    emptyHostSource{},
		Sender:   sender,
		Recorder: timeline.Discard{},
		Logger:   logger,
		Now:      time.Now,
	})
	manager := NewManager(ManagerOptions{
		Host:       name,
		DataCentre: fm.View().Self.DataCentre,
		Members:    fm,
		Settings:   fixedSettings{snapshot},
		Hosts:      emptyHostSource{},
		Sender:     sender,
		LoadReader: failingLoadReader{},
		Recorder:   timeline.Discard{},
		Usage:      usage.NewAggregator(usage.Options{Host: name}),
		Logger:     logger,
		Scope:      tally.NoopScope,
		GrantLease: time.Second,
		Now:        time.Now,
	})
	ctx, cancel := context.WithCancel(context.Background())
	h := &fakeHost{name: name, members: fm, client: client, manager: manager}
	s.network.mu.Lock()
	s.network.hosts[name] = []peer.Handler{client, manager}
	s.network.mu.Unlock()
	s.hosts = append(s.hosts, h)
	var done sync.WaitGroup
	done.Go(func() { _ = client.Run(ctx) })
	done.Go(func() { _ = manager.Run(ctx) })
	h.stop = func() {
		cancel()
		done.Wait()
	}
}

func (s *fakeSystem) close() {
	for _, h := range s.hosts {
		h.stop()
	}
	close(s.network.done)
}

func (s *fakeSystem) host(name ident.Host) *fakeHost {
	for _, h := range s.hosts {
		if h.name == name {
			return h
		}
	}
	s.t.Fatalf("host %s does not exist in the fake system", name)
	return nil
}

// owner returns the owner of the pool according to the view of the first host.
func (s *fakeSystem) owner() *fakeHost {
	return s.host(s.hosts[0].members.View().Owner(testCentre, testPool))
}

// nonOwner returns a host that is not the owner.
func (s *fakeSystem) nonOwner() *fakeHost {
	owner := s.owner()
	for _, h := range s.hosts {
		if h != owner && h.members.View().Self.DataCentre == testCentre {
			return h
		}
	}
	s.t.Fatal("the fake system has no host besides the owner")
	return nil
}

// kill stops a host and declares it dead in the views of all hosts.
func (s *fakeSystem) kill(name ident.Host) {
	s.network.remove(name)
	s.host(name).stop()
	for _, h := range s.hosts {
		members := append([]membership.Member(nil), h.members.View().Members...)
		for i := range members {
			if members[i].Host == name {
				members[i].State = membership.Dead
			}
		}
		h.members.set(h.name, members)
	}
}

func aliveMember(name ident.Host, dc ident.DataCentre) membership.Member {
	return membership.Member{Host: name, DataCentre: dc, State: membership.Alive, Incarnation: 1}
}

func threeHosts() []membership.Member {
	return []membership.Member{aliveMember("a", testCentre), aliveMember("b", testCentre), aliveMember("c", testCentre)}
}

func testRequest(id string, tier ident.Tier) admission.Request {
	now := time.Now()
	return admission.Request{
		ID:           ident.Request(id),
		Pool:         testPool,
		Team:         "bureau",
		Tier:         tier,
		Arrived:      now,
		Deadline:     now.Add(time.Minute),
		PromptTokens: 100,
		MaxTokens:    50,
	}
}

// acquired is the result of one Acquire.
type acquired struct {
	id    ident.Request
	grant Grant
	err   error
}

// acquire starts Acquire and returns the channel that delivers its result.
func (h *fakeHost) acquire(ctx context.Context, r admission.Request) <-chan acquired {
	result := make(chan acquired, 1)
	go func() {
		g, err := h.client.Acquire(ctx, r)
		result <- acquired{id: r.ID, grant: g, err: err}
	}()
	return result
}

func (s *fakeSystem) wait(result <-chan acquired) acquired {
	s.t.Helper()
	select {
	case a := <-result:
		return a
	case <-time.After(waitLimit):
		s.t.Fatal("Acquire returned no result before the timeout")
		return acquired{}
	}
}

// waitUntil polls the condition and fails the test if it does not hold in time.
func (s *fakeSystem) waitUntil(what string, condition func() bool) {
	s.t.Helper()
	deadline := time.Now().Add(waitLimit)
	for !condition() {
		if time.Now().After(deadline) {
			s.t.Fatalf("timed out while waiting until %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}
