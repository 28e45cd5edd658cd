package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/admission"
	"github.com/cornelyard/cornelyard/claim"
	standin "github.com/cornelyard/cornelyard/internal/standin/platform"
	"github.com/cornelyard/cornelyard/outcome"
	"github.com/cornelyard/cornelyard/settings"
	"github.com/cornelyard/cornelyard/storage/restclient"
	"github.com/cornelyard/cornelyard/timeline"
)

// withClaims returns an option that stores claims on a stand-in for the platform.
func withClaims(t *testing.T, service *standin.Platform) func(*Options) {
	t.Helper()
	server := httptest.NewServer(service.Handler())
	client := restclient.New(restclient.Options{BaseURL: server.URL})
	claims := claim.New(claim.Options{Table: client, Objects: client.Objects(), Host: "host-1", Incarnation: 1})
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- claims.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-stopped; err != nil {
			t.Error(err)
		}
		server.Close()
	})
	return func(o *Options) { o.Claims = claims }
}

// filingService counts its calls and holds each one until gate is closed.
type filingService struct {
	*httptest.Server
	calls atomic.Int32
	gate  chan struct{}
	once  sync.Once
}

// release lets all calls finish.
func (s *filingService) release() { s.once.Do(func() { close(s.gate) }) }

func newFilingService(t *testing.T) *filingService {
	t.Helper()
	s := &filingService{gate: make(chan struct{})}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		n := s.calls.Add(1)
		<-s.gate
		w.WriteHeader(http.StatusCreated)
		_, _ = fmt.Fprintf(w, "filed %d", n)
	}))
	t.Cleanup(s.Close)
	t.Cleanup(s.release)
	return s
}

func (s *filingService) target() settings.Target {
	return settings.Target{Name: "filing-1", Address: s.Listener.Addr().String()}
}

func (f *fixture) filingRequest(body string, header ...string) *http.Request {
	return f.request("POST", "/services/filing/submit", body, append(header, headerIdempotencyKey, "key-1")...)
}

func TestRepeatedRequestGetsStoredResponse(t *testing.T) {
	service := newFilingService(t)
	service.release()
	f := newFixture(t, withClaims(t, standin.New(standin.Options{})), service.target())
	for i := range 3 {
		response, body := do(t, f.filingRequest("return"))
		if response.StatusCode != http.StatusCreated || body != "filed 1" {
			t.Fatalf("call %d: status %d, body %s", i, response.StatusCode, body)
		}
		if replayed := response.Header.Get(headerReplayed); (replayed == "true") != (i > 0) {
			t.Errorf("call %d: header replayed is %q", i, replayed)
		}
	}
	if n := service.calls.Load(); n != 1 {
		t.Errorf("the service received %d calls, want 1", n)
	}
	if n := len(f.admitter.received()); n != 1 {
		t.Errorf("%d slots were requested", n)
	}
	response, body := do(t, f.filingRequest("another return"))
	if e := errorOf(t, body); response.StatusCode != http.StatusUnprocessableEntity || e.Code != outcome.KeyConflict || e.Outcome != outcome.NotRun {
		t.Errorf("same key with another body: status %d, error %+v", response.StatusCode, e)
	}
}

func TestNonIdempotentCallContinuesAfterDisconnect(t *testing.T) {
	service := newFilingService(t)
	f := newFixture(t, withClaims(t, standin.New(standin.Options{})), service.target())
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		response, err := http.DefaultClient.Do(f.filingRequest("return").WithContext(ctx))
		if err == nil {
			_ = response.Body.Close()
		}
	}()
	eventually(t, "the service receives the call", func() bool { return service.calls.Load() == 1 })
	cancel()
	repeated := make(chan string, 1)
	go func() {
		_, body := do(t, f.filingRequest("return"))
		repeated <- body
	}()
	service.release()
	if body := <-repeated; body != "filed 1" {
		t.Errorf("the repeated request got %q", body)
	}
	if n := service.calls.Load(); n != 1 {
		t.Errorf("the service received %d calls, want 1", n)
	}
}

func TestNonIdempotentCallContinuesAfterDeadline(t *testing.T) {
	service := newFilingService(t)
	f := newFixture(t, withClaims(t, standin.New(standin.Options{})), service.target())
	response, body := do(t, f.filingRequest("return", headerDeadline, "300"))
	e := errorOf(t, body)
	if response.StatusCode != http.StatusGatewayTimeout || e.Outcome != outcome.Unknown || response.Header.Get(headerRetryAfter) == "" {
		t.Errorf("status %d, error %+v", response.StatusCode, e)
	}
	service.release()
	if _, body := do(t, f.filingRequest("return")); body != "filed 1" {
		t.Errorf("the repeated request got %q", body)
	}
	if n := service.calls.Load(); n != 1 {
		t.Errorf("the service received %d calls, want 1", n)
	}
}

func TestNonIdempotentCallIsRefusedDuringPlatformOutage(t *testing.T) {
	service := newFilingService(t)
	service.release()
	platform := standin.New(standin.Options{})
	platform.SetFaults(standin.Faults{Outage: true})
	f := newFixture(t, withClaims(t, platform), service.target())
	response, body := do(t, f.filingRequest("return"))
	e := errorOf(t, body)
	if response.StatusCode != http.StatusServiceUnavailable || e.Outcome != outcome.NotRun || e.Code != outcome.ClaimUnavailable || e.RetryAfterMs == 0 {
		t.Errorf("status %d, error %+v", response.StatusCode, e)
	}
	if _, body := do(t, f.request("GET", "/services/filing/list", "")); body != "filed 1" {
		t.Errorf("the idempotent call got %q", body)
	}
	if n := f.events.count(timeline.Claimed); n != 0 {
		t.Errorf("%d claims were recorded", n)
	}
}

// TestRefusedCallReleasesItsClaim checks that the key can be used again after the
// target was unreachable.
func TestRefusedCallReleasesItsClaim(t *testing.T) {
	service := newFilingService(t)
	service.release()
	f := newFixture(t, withClaims(t, standin.New(standin.Options{})), closedTarget(t))
	response, body := do(t, f.filingRequest("return"))
	if e := errorOf(t, body); response.StatusCode != http.StatusServiceUnavailable || e.Outcome != outcome.NotRun {
		t.Fatalf("status %d, error %+v", response.StatusCode, e)
	}
	f.admitter.setTargets(service.target())
	eventually(t, "the key is free again", func() bool {
		response, _ := do(t, f.filingRequest("return"))
		return response.StatusCode == http.StatusCreated
	})
}

// TestGrantExpiresDuringClaim checks that an expired grant is not dispatched. The
// claim takes longer than the lease, as when the process is paused meanwhile.
func TestGrantExpiresDuringClaim(t *testing.T) {
	service := newFilingService(t)
	service.release()
	platform := standin.New(standin.Options{})
	platform.SetFaults(standin.Faults{DelayMs: 300})
	f := newFixture(t, withClaims(t, platform), service.target())
	f.admitter.lease = 100 * time.Millisecond
	response, body := do(t, f.filingRequest("return"))
	if response.StatusCode != http.StatusCreated || body != "filed 1" {
		t.Errorf("status %d, body %s", response.StatusCode, body)
	}
	declines, ends := f.admitter.grant(0).returned()
	if len(declines) != 1 || declines[0] != admission.DeclineExpired || len(ends) != 0 {
		t.Errorf("the expired grant was returned with declines %v, ends %v", declines, ends)
	}
	if n := f.events.count(timeline.Claimed); n != 1 {
		t.Errorf("%d claims were recorded", n)
	}
}
