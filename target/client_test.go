package target

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/settings"
)

func TestResponseHeaderValidation(t *testing.T) {
	cases := []struct {
		name        string
		kind        settings.PoolKind
		handler     http.HandlerFunc
		wantFailure FailureKind
	}{
		{
			name:        "other ID in the header",
			kind:        settings.ServicePool,
			handler:     func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(HeaderDispatch, "d-2") },
			wantFailure: FailedIDMismatch,
		},
		{
			name:        "no ID in the header",
			kind:        settings.ServicePool,
			handler:     func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "x") },
			wantFailure: FailedIDMismatch,
		},
		{
			name: "draining",
			kind: settings.ServicePool,
			handler: func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(HeaderDispatch, "d-1")
				w.Header().Set(HeaderDraining, "true")
				w.WriteHeader(http.StatusServiceUnavailable)
			},
			wantFailure: FailedDraining,
		},
		{
			name: "draining, without the dispatch ID",
			kind: settings.ServicePool,
			handler: func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(HeaderDraining, "true")
				w.WriteHeader(http.StatusServiceUnavailable)
			},
			wantFailure: FailedIDMismatch,
		},
		{
			name: "engine error",
			kind: settings.EnginePool,
			handler: func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(HeaderDispatch, "d-1")
				w.WriteHeader(http.StatusInternalServerError)
			},
			wantFailure: FailedStatus,
		},
		{
			name: "engine response with another ID in the body",
			kind: settings.EnginePool,
			handler: func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(HeaderDispatch, "d-1")
				_, _ = io.WriteString(w, `{"id":"chatcmpl-d-2"}`)
			},
			wantFailure: FailedIDMismatch,
		},
		{
			name: "truncated engine response",
			kind: settings.EnginePool,
			handler: func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(HeaderDispatch, "d-1")
				w.Header().Set("Content-Length", "100")
				_, _ = io.WriteString(w, `{"id":"chatcmpl-d-1"}`)
			},
			wantFailure: FailedConnection,
		},
		{
			name: "redirect is forwarded, not followed",
			kind: settings.ServicePool,
			handler: func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(HeaderDispatch, "d-1")
				http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
			},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(c.handler)
			defer server.Close()
			client := NewClient(Options{})
			defer client.Close()
			response, err := client.Do(context.Background(), Call{
				Target:   settings.Target{Address: server.Listener.Addr().String(), EchoesID: true},
				Kind:     c.kind,
				Dispatch: "d-1",
				Method:   http.MethodPost,
				Path:     "/x",
				Latch:    new(SendLatch),
			})
			if err == nil {
				_, err = readAll(response)
			}
			checkKind(t, err, c.wantFailure)
		})
	}
}

func checkKind(t *testing.T, err error, want FailureKind) {
	t.Helper()
	if want == "" {
		if err != nil {
			t.Errorf("unexpected error: %v", err)
		}
		return
	}
	var failure *Failure
	if !errors.As(err, &failure) || failure.Kind != want {
		t.Errorf("error is %v, want a failure of kind %s", err, want)
	}
}

func TestServiceResponseWithoutVerifiableEndIsRejected(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 4096))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf an ans")
		_ = conn.Close()
	}()
	client := NewClient(Options{})
	defer client.Close()
	_, err = client.Do(context.Background(), Call{
		Target: settings.Target{Address: listener.Addr().String()},
		Kind:   settings.ServicePool,
		Method: http.MethodGet,
		Path:   "/",
		Latch:  new(SendLatch),
	})
	checkKind(t, err, FailedProtocol)
}

func TestStrippedRequestHeaders(t *testing.T) {
	caller := http.Header{
		"Authorization":     {"Bearer secret"},
		"Idempotency-Key":   {"k"},
		"X-Idempotency-Key": {"k"},
		"X-Cornelyard-Tier": {"gold"},
		"Connection":        {"X-Hop"},
		"X-Hop":             {"1"},
		"Upgrade":           {"x"},
		"X-Request-Id":      {"the caller's"},
		"Accept":            {"*/*"},
	}
	got := requestHeader(caller, "d-1", settings.ServicePool)
	if len(got) != 2 || got.Get("Accept") != "*/*" || got.Get(HeaderDispatch) != "d-1" {
		t.Errorf("request header is %v, want only Accept and the dispatch ID", got)
	}
}

func TestExpiredDispatchSendsNothing(t *testing.T) {
	server := newIdleCloseServer(t)
	client := NewClient(Options{})
	defer client.Close()
	call := Call{
		Target:   settings.Target{Address: server.address()},
		Kind:     settings.ServicePool,
		Method:   http.MethodPost,
		Path:     "/late",
		Latch:    new(SendLatch),
		NotAfter: time.Now().Add(-time.Millisecond),
	}
	_, err := client.Do(context.Background(), call)
	checkKind(t, err, FailedExpired)
	if call.Latch.IsSet() || server.count("/late") != 0 {
		t.Error("a byte was sent after the start limit had passed")
	}
}

// TestCancelledCallReportsWhetherItWasSent guards against a cancelled call that is
// reported as unsent although the target ran it. It cancels calls at various times
// around their dispatch and compares the reported failures with the requests that
// the target received.
func TestCancelledCallReportsWhetherItWasSent(t *testing.T) {
	const calls = 400
	var mu sync.Mutex
	ran := make(map[string]bool)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		ran[r.Header.Get(HeaderDispatch)] = true
	}))
	client := NewClient(Options{})
	unsent := make(map[string]bool)
	for i := range calls {
		id := strconv.Itoa(i)
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			time.Sleep(time.Duration(i%40) * 10 * time.Microsecond)
			cancel()
		}()
		response, err := client.Do(ctx, Call{
			Target:   settings.Target{Address: server.Listener.Addr().String()},
			Kind:     settings.ServicePool,
			Dispatch: ident.Dispatch(id),
			Method:   http.MethodPost,
			Path:     "/",
			Body:     []byte("x"),
			Latch:    new(SendLatch),
		})
		cancel()
		var failure *Failure
		if errors.As(err, &failure) && failure.Kind == FailedDial {
			unsent[id] = true
		}
		if err == nil {
			response.Close()
		}
	}
	client.Close()
	server.Close()
	if len(unsent) == 0 || len(ran) == 0 {
		t.Logf("of %d calls, %d were reported as unsent and %d ran; the cancellation times do not cover both cases", calls, len(unsent), len(ran))
	}
	for id := range unsent {
		if ran[id] {
			t.Errorf("call %s was reported as unsent, but the target ran it", id)
		}
	}
}

func TestSendLatchChangesStateOnce(t *testing.T) {
	cases := []struct {
		name  string
		steps func(l *SendLatch) bool
		set   bool
	}{
		{name: "set, then cancelled", steps: func(l *SendLatch) bool { return l.Set() && !l.Cancel() }, set: true},
		{name: "cancelled, then set", steps: func(l *SendLatch) bool { return l.Cancel() && !l.Set() }},
		{name: "set twice", steps: func(l *SendLatch) bool { first := l.Set(); return l.Set() == first }, set: true},
		{name: "cancelled twice", steps: func(l *SendLatch) bool { first := l.Cancel(); return l.Cancel() == first }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			latch := new(SendLatch)
			if !c.steps(latch) {
				t.Error("a state transition returned the wrong result")
			}
			if latch.IsSet() != c.set {
				t.Errorf("latch set = %v, want the opposite", latch.IsSet())
			}
		})
	}
}
