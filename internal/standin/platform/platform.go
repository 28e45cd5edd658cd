package platform

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/cornelyard/cornelyard/internal/standin"
	"github.com/cornelyard/cornelyard/storage"
)

// Platform is the stand-in for the platform. It is safe for concurrent use.
type Platform struct {
	store  *store
	hosts  hostList
	reads  *rate.Limiter
	writes *rate.Limiter

	mu     sync.Mutex
	faults Faults
	counts Counts
}

// New returns a platform without rows, objects and hosts.
func New(o Options) *Platform {
	return &Platform{
		store:  newStore(),
		hosts:  hostList{lag: o.HostLag},
		reads:  newLimiter(o.ReadsPerSecond),
		writes: newLimiter(o.WritesPerSecond),
	}
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	burst := max(1, int(perSecond))
	return rate.NewLimiter(rate.Limit(perSecond), burst)
}

// SetHosts replaces the host list. The change becomes visible after HostLag.
func (p *Platform) SetHosts(hosts []storage.HostEntry) {
	p.hosts.set(time.Now(), hosts)
}

// SetFaults replaces all faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Counts returns the call counts since the start.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// Serve serves the platform's services and the control listener until ctx is done.
func (p *Platform) Serve(ctx context.Context, service, control net.Listener) error {
	return standin.Serve(ctx,
		standin.Endpoint{Listener: service, Handler: p.Handler()},
		standin.Endpoint{Listener: control, Handler: p.ControlHandler()},
	)
}

// admit counts a call and applies the faults that precede its effect. It reports false
// if the call must not be processed; the response, if any, is then already written.
func (p *Platform) admit(w http.ResponseWriter, r *http.Request, write bool) bool {
	if _, err := standin.BufferBody(r); err != nil {
		return false
	}
	faults := p.count(write)
	if faults.Hang {
		<-r.Context().Done()
		return false
	}
	if err := standin.Sleep(r.Context(), time.Duration(faults.DelayMs)*time.Millisecond); err != nil {
		return false
	}
	if faults.Outage {
		p.reject(w, http.StatusServiceUnavailable)
		return false
	}
	if !p.limiter(write).Allow() {
		p.reject(w, http.StatusTooManyRequests)
		return false
	}
	if write && p.consumeFault(func(f *Faults) *int { return &f.LostRequests }) {
		standin.AbortConnection()
	}
	return true
}

// applyConfirmationFaults applies the faults that follow the effect of a write.
func (p *Platform) applyConfirmationFaults() {
	if p.consumeFault(func(f *Faults) *int { return &f.LostConfirmations }) {
		standin.AbortConnection()
	}
}

func (p *Platform) limiter(write bool) *rate.Limiter {
	if write {
		return p.writes
	}
	return p.reads
}

func (p *Platform) count(write bool) Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	if write {
		p.counts.Writes++
	} else {
		p.counts.Reads++
	}
	return p.faults
}

func (p *Platform) reject(w http.ResponseWriter, status int) {
	p.mu.Lock()
	p.counts.Refused++
	p.mu.Unlock()
	w.WriteHeader(status)
}

func (p *Platform) countConflict() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Conflicts++
}

func (p *Platform) consumeFault(field func(*Faults) *int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return consume(field(&p.faults))
}
