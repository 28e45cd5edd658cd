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

// withClaims gives an entry claims on a stand-in for the platform.
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

// filingService counts its calls and holds each one while gate is open.
type filingService struct {
	*httptest.Server
	calls atomic.Int32
	gate  chan struct{}
	once  sync.Once
}

// release lets all calls end.
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

func (b *fixture) filingRequest(body string, header ...string) *http.Request {
	return b.request("POST", "/services/filing/submit", body, append(header, headerIdempotencyKey, "key-1")...)
}

func TestResendGetsTheKeptAnswer(t *testing.T) {
	service := newFilingService(t)
	service.release()
	b := newFixture(t, withClaims(t, standin.New(standin.Options{})), service.target())
	for i := range 3 {
		response, body := do(t, b.filingRequest("return"))
		if response.StatusCode != http.StatusCreated || body != "filed 1" {
			t.Fatalf("call %d: status %d, body %s", i, response.StatusCode, body)
		}
		if replayed := response.Header.Get(headerReplayed); (replayed == "true") != (i > 0) {
			t.Errorf("call %d: replayed is %q", i, replayed)
		}
	}
	if n := service.calls.Load(); n != 1 {
		t.Errorf("the service ran %d calls", n)
	}
	if n := len(b.admitter.received()); n != 1 {
		t.Errorf("%d slots were asked for", n)
	}
	response, body := do(t, b.filingRequest("another return"))
	if e := errorOf(t, body); response.StatusCode != http.StatusUnprocessableEntity || e.Code != outcome.KeyConflict || e.Outcome != outcome.NotRun {
		t.Errorf("other body: status %d, error %+v", response.StatusCode, e)
	}
}

func TestNonIdempotentCallGoesOnWithoutItsCaller(t *testing.T) {
	service := newFilingService(t)
	b := newFixture(t, withClaims(t, standin.New(standin.Options{})), service.target())
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		response, err := http.DefaultClient.Do(b.filingRequest("return").WithContext(ctx))
		if err == nil {
			_ = response.Body.Close()
		}
	}()
	eventually(t, "the service has the call", func() bool { return service.calls.Load() == 1 })
	cancel()
	resent := make(chan string, 1)
	go func() {
		_, body := do(t, b.filingRequest("return"))
		resent <- body
	}()
	service.release()
	if body := <-resent; body != "filed 1" {
		t.Errorf("the resend got %q", body)
	}
	if n := service.calls.Load(); n != 1 {
		t.Errorf("the service ran %d calls", n)
	}
}

func TestNonIdempotentCallGoesOnAfterItsDeadline(t *testing.T) {
	service := newFilingService(t)
	b := newFixture(t, withClaims(t, standin.New(standin.Options{})), service.target())
	response, body := do(t, b.filingRequest("return", headerDeadline, "300"))
	e := errorOf(t, body)
	if response.StatusCode != http.StatusGatewayTimeout || e.Outcome != outcome.Unknown || response.Header.Get(headerRetryAfter) == "" {
		t.Errorf("status %d, error %+v", response.StatusCode, e)
	}
	service.release()
	if _, body := do(t, b.filingRequest("return")); body != "filed 1" {
		t.Errorf("the resend got %q", body)
	}
	if n := service.calls.Load(); n != 1 {
		t.Errorf("the service ran %d calls", n)
	}
}

func TestPlatformOutage(t *testing.T) {
	service := newFilingService(t)
	service.release()
	stand := standin.New(standin.Options{})
	stand.SetFaults(standin.Faults{Outage: true})
	b := newFixture(t, withClaims(t, stand), service.target())
	response, body := do(t, b.filingRequest("return"))
	e := errorOf(t, body)
	if response.StatusCode != http.StatusServiceUnavailable || e.Outcome != outcome.NotRun || e.Code != outcome.ClaimUnavailable || e.RetryAfterMs == 0 {
		t.Errorf("status %d, error %+v", response.StatusCode, e)
	}
	if _, body := do(t, b.request("GET", "/services/filing/list", "")); body != "filed 1" {
		t.Errorf("an idempotent call got %q", body)
	}
	if n := b.events.count(timeline.Claimed); n != 0 {
		t.Errorf("%d claims", n)
	}
}

// TestRefusedCallFreesItsKey lets the target be unreachable after the claim.
func TestRefusedCallFreesItsKey(t *testing.T) {
	service := newFilingService(t)
	service.release()
	b := newFixture(t, withClaims(t, standin.New(standin.Options{})), closedTarget(t))
	response, body := do(t, b.filingRequest("return"))
	if e := errorOf(t, body); response.StatusCode != http.StatusServiceUnavailable || e.Outcome != outcome.NotRun {
		t.Fatalf("status %d, error %+v", response.StatusCode, e)
	}
	b.admitter.setTargets(service.target())
	eventually(t, "the key is free again", func() bool {
		response, _ := do(t, b.filingRequest("return"))
		return response.StatusCode == http.StatusCreated
	})
}

// TestGrantExpiresDuringTheClaim makes the claim outlast the grant's lease, as a
// claimer that is frozen in between sees it.
func TestGrantExpiresDuringTheClaim(t *testing.T) {
	service := newFilingService(t)
	service.release()
	stand := standin.New(standin.Options{})
	stand.SetFaults(standin.Faults{DelayMs: 300})
	b := newFixture(t, withClaims(t, stand), service.target())
	b.admitter.lease = 100 * time.Millisecond
	response, body := do(t, b.filingRequest("return"))
	if response.StatusCode != http.StatusCreated || body != "filed 1" {
		t.Errorf("status %d, body %s", response.StatusCode, body)
	}
	declines, ends := b.admitter.grant(0).returned()
	if len(declines) != 1 || declines[0] != admission.DeclineExpired || len(ends) != 0 {
		t.Errorf("the expired grant was given back as %v, %v", declines, ends)
	}
	if n := b.events.count(timeline.Claimed); n != 1 {
		t.Errorf("%d claims", n)
	}
}
