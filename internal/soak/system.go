package soak

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/loopback"
	"github.com/cornelyard/cornelyard/internal/periodic"
	"github.com/cornelyard/cornelyard/internal/standin/faultproxy"
	"github.com/cornelyard/cornelyard/internal/testbed"
	"github.com/cornelyard/cornelyard/platform/platformtest"
)

// dataCentres are the names of the two data centres.
var dataCentres = []string{"east", "west"}

// system is the hosts and the stand-ins of one run.
type system struct {
	dir     string
	store   *platformtest.Store
	proxy   *faultproxy.Proxy
	hosts   []*host
	targets []*target

	// storeFaults are the times in which the store was away for all.
	storeFaults spans

	mu      sync.Mutex
	version int
}

// startSystem starts all processes. The caller stops it also after an error.
func startSystem(ctx context.Context, o Options) (*system, error) {
	binaries, err := testbed.Build()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "cornelyard-soak-")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	s := &system{dir: dir, store: platformtest.NewStore(), proxy: faultproxy.New(ctx)}
	for i := range o.Targets {
		if err := s.addTarget(i); err != nil {
			return s, err
		}
	}
	s.configure()
	for i := range o.Hosts {
		if err := s.addHost(i, binaries.Gateway); err != nil {
			return s, err
		}
	}
	return s, nil
}

func (s *system) addLink(name, target string) (*faultproxy.Link, error) {
	address, err := loopback.FreeAddress()
	if err != nil {
		return nil, err
	}
	return s.proxy.AddLink(faultproxy.LinkOptions{Name: name, Listen: address, Target: target})
}

// addTarget starts a target; every third serves the model.
func (s *system) addTarget(i int) error {
	name := fmt.Sprintf("t-%d", i)
	t := &target{name: name, service: platformtest.Service, dataCentre: dataCentreOf(i)}
	if i%3 == 0 {
		t.service = platformtest.ModelService
	}
	t.replica = platformtest.NewReplica(name)
	t.replica.SetHandler(t.serve)
	link, err := s.addLink(name, t.replica.Address())
	if err != nil {
		return err
	}
	t.link = link
	s.targets = append(s.targets, t)
	s.announce(t)
	return nil
}

func (s *system) announce(t *target) { s.store.PutTarget(t.name, t.entry()) }

// configure writes the next version of the configuration.
func (s *system) configure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.store.PutConfiguration(platformtest.Configuration(s.version))
}

func (s *system) currentVersion() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

func (s *system) addHost(i int, binary string) error {
	name := fmt.Sprintf("h-%d", i)
	link, err := s.addLink("store-"+name, s.store.Address())
	if err != nil {
		return err
	}
	h, err := newHost(s.dir, binary, name, string(dataCentreOf(i)), link)
	if err != nil {
		return err
	}
	s.hosts = append(s.hosts, h)
	return s.startHost(h)
}

// startHost starts a process of the host and tells the proxy of it.
func (s *system) startHost(h *host) error {
	if err := h.begin(); err != nil {
		return err
	}
	s.proxy.RegisterSource(faultproxy.Source{Name: h.Name, PID: h.PID()})
	return nil
}

// balanceInterval is the time between two questions of the balancer, and
// balanceMisses how many of them a host has to fail.
const (
	balanceInterval = 300 * time.Millisecond
	balanceTimeout  = 200 * time.Millisecond
	balanceMisses   = 2
)

// balance asks a host whether it takes callers until ctx ends.
func (s *system) balance(ctx context.Context, h *host) {
	misses := balanceMisses
	for ctx.Err() == nil {
		asking, cancel := context.WithTimeout(ctx, balanceTimeout)
		if platformtest.Ready(asking, h.settings.ReadinessAddress) {
			misses = 0
		} else {
			misses++
		}
		cancel()
		h.setOut(misses >= balanceMisses)
		periodic.Sleep(ctx, balanceInterval)
	}
}

// awaitReady waits until all hosts say that they take callers.
func (s *system) awaitReady(ctx context.Context) error {
	for _, h := range s.hosts {
		h.awaitReady(ctx)
	}
	if ctx.Err() != nil {
		return Error.New("not all hosts became ready")
	}
	return nil
}

// stop ends all processes and stand-ins and removes the logs unless they are kept.
func (s *system) stop(keep bool) {
	for _, h := range s.hosts {
		h.tell()
		// A process that is not there any more is fine.
		_ = h.Resume()
		_ = h.Kill()
	}
	for _, t := range s.targets {
		t.replica.Close()
	}
	s.store.Close()
	if !keep {
		_ = os.RemoveAll(s.dir)
	}
	http.DefaultClient.CloseIdleConnections()
}

func dataCentreOf(i int) ident.DataCentre { return ident.DataCentre(dataCentres[i%len(dataCentres)]) }
