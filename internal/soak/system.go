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
	"github.com/cornelyard/cornelyard/platform/platformtest"
)

var dataCentres = []string{"east", "west"}

// system holds the hosts and the stand-ins of one run.
type system struct {
	dir     string
	store   *platformtest.Store
	proxy   *faultproxy.Proxy
	hosts   []*host
	targets []*target

	// storeFaults are the periods in which the store was unavailable or stale for all hosts.
	storeFaults spans

	// storms are the periods in which all targets failed most of their runs.
	storms spans

	// crashing holds the history of each request that crashes targets, by path.
	crashing sync.Map

	mu      sync.Mutex
	version int
	// guestRevoked says that the key of the guests is missing from the configuration.
	guestRevoked bool
	// faultErrs holds errors of faults that targets injected themselves.
	faultErrs []error
}

// injectError records an error of a fault that a target injected itself.
func (s *system) injectError(err error) {
	if err == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultErrs = append(s.faultErrs, err)
}

// startSystem starts all processes. All hosts run the build b. If it returns a system, the caller must stop it,
// also after an error.
func startSystem(ctx context.Context, o Options, b *build) (*system, error) {
	dir, err := os.MkdirTemp("", "cornelyard-soak-")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	s := &system{dir: dir, store: platformtest.NewStore(), proxy: faultproxy.New(ctx)}
	for i := range o.Targets {
		if err := s.addTarget(i, o.Versions); err != nil {
			return s, err
		}
	}
	s.writeConfiguration()
	for i := range o.Hosts {
		if err := s.addHost(i, b); err != nil {
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

// addTarget starts a target; every third one serves the model.
func (s *system) addTarget(i, versions int) error {
	name := fmt.Sprintf("t-%d", i)
	t := &target{name: name, service: platformtest.Service, dataCentre: dataCentreOf(i)}
	if i%3 == 0 {
		t.service = platformtest.ModelService
	}
	t.fake = platformtest.NewTarget(name)
	t.fake.Version = softwareVersion(i, versions)
	t.fake.SetHandler(func(w http.ResponseWriter, r *http.Request) {
		if t.crash(s, r) {
			return
		}
		t.failInStorm(w)
		t.serve(w, r)
	})
	link, err := s.addLink(name, t.fake.Address())
	if err != nil {
		return err
	}
	t.link = link
	s.targets = append(s.targets, t)
	s.publishTarget(t)
	return nil
}

func (s *system) publishTarget(t *target) { s.store.PutTarget(t.name, t.storeEntry()) }

// writeConfiguration writes the next configuration version to the store.
func (s *system) writeConfiguration() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	if s.guestRevoked {
		s.store.PutConfiguration(platformtest.ConfigurationWithoutGuests(s.version))
		return
	}
	s.store.PutConfiguration(platformtest.Configuration(s.version))
}

// revokeGuestKey removes the key of the guests from this configuration and all later ones.
func (s *system) revokeGuestKey() {
	s.mu.Lock()
	s.guestRevoked = true
	s.mu.Unlock()
	s.writeConfiguration()
}

func (s *system) currentVersion() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

func (s *system) addHost(i int, b *build) error {
	name := fmt.Sprintf("h-%d", i)
	link, err := s.addLink("store-"+name, s.store.Address())
	if err != nil {
		return err
	}
	h, err := newHost(s.dir, b, name, string(dataCentreOf(i)), link)
	if err != nil {
		return err
	}
	s.hosts = append(s.hosts, h)
	return s.startHost(h)
}

// startHost starts the host's process and registers its PID with the fault proxy.
func (s *system) startHost(h *host) error {
	if err := h.startProcess(); err != nil {
		return err
	}
	s.proxy.RegisterSource(faultproxy.Source{Name: h.Name, PID: h.PID()})
	return nil
}

// A host that fails probeFailureThreshold consecutive readiness probes is taken out of
// rotation.
const (
	probeInterval         = 300 * time.Millisecond
	probeTimeout          = 200 * time.Millisecond
	probeFailureThreshold = 2
)

// probeReadiness probes a host's readiness until ctx ends and takes it in and out of
// rotation, as a load balancer does.
func (s *system) probeReadiness(ctx context.Context, h *host) {
	failures := probeFailureThreshold
	for ctx.Err() == nil {
		probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		if platformtest.Ready(probeCtx, h.settings.ReadinessAddress) {
			failures = 0
		} else {
			failures++
		}
		cancel()
		h.setOutOfRotation(failures >= probeFailureThreshold)
		periodic.Sleep(ctx, probeInterval)
	}
}

// waitReady waits until all hosts report that they are ready.
func (s *system) waitReady(ctx context.Context) error {
	for _, h := range s.hosts {
		h.waitReady(ctx)
	}
	if ctx.Err() != nil {
		return Error.New("not all hosts became ready")
	}
	return nil
}

// stop ends all processes and stand-ins, and removes the logs unless keep is set.
func (s *system) stop(keep bool) {
	for _, h := range s.hosts {
		h.expectExit()
		// Errors are ignored, as the process may have exited already.
		_ = h.Resume()
		_ = h.Kill()
	}
	for _, t := range s.targets {
		t.fake.Close()
	}
	s.store.Close()
	if !keep {
		_ = os.RemoveAll(s.dir)
	}
	http.DefaultClient.CloseIdleConnections()
}

func dataCentreOf(i int) ident.DataCentre { return ident.DataCentre(dataCentres[i%len(dataCentres)]) }
