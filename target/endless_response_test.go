package target

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/internal/bytebudget"
	"github.com/cornelyard/cornelyard/settings"
)

// closeLimit bounds the wait for an engine to see that its connection was closed.
const closeLimit = 20 * time.Second

// Responses must be bounded together, not only one by one.
func TestEndlessResponsesOfEnginesKeepToTheBudget(t *testing.T) {
	for name, contentType := range map[string]string{"document": "application/json", "event": "text/event-stream"} {
		t.Run(name, func(t *testing.T) {
			closed := make(chan struct{})
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				defer close(closed)
				w.Header().Set(HeaderDispatch, r.Header.Get(HeaderDispatch))
				w.Header().Set("Content-Type", contentType)
				for err := error(nil); err == nil; {
					_, err = io.WriteString(w, strings.Repeat("a", 4096))
				}
			}))
			defer server.Close()
			budget := bytebudget.New(256<<10, 0)
			client := NewClient(Options{Budget: budget, MaxBufferedBytes: 1 << 40, MaxEventBytes: 1 << 40})
			defer client.Close()
			response, err := client.Do(context.Background(), Call{
				Target:   settings.Target{Address: server.Listener.Addr().String(), EchoesID: true},
				Kind:     settings.EnginePool,
				Dispatch: "d-1",
				Method:   http.MethodPost,
				Path:     "/x",
				Latch:    new(SendLatch),
			})
			if err == nil {
				_, err = readAll(response)
			}
			checkKind(t, err, FailedProtocol)
			if budget.Used() != 0 || budget.Refused() == 0 {
				t.Errorf("%d bytes in use, %d refused; want all given back", budget.Used(), budget.Refused())
			}
			select {
			case <-closed:
			case <-time.After(closeLimit):
				t.Error("the engine did not see the connection close")
			}
		})
	}
}
