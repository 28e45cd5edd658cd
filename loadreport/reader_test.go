package loadreport

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/settings"
)

// TestOversizedReportIsNotRead guards against a report that a target sends without end.
func TestOversizedReportIsNotRead(t *testing.T) {
	for name, respond := range map[string]http.HandlerFunc{
		"head": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Filler", strings.Repeat("a", 1<<20))
			_, _ = io.WriteString(w, `{"running":1}`)
		},
		"body": func(w http.ResponseWriter, _ *http.Request) {
			for err := error(nil); err == nil; {
				_, err = io.WriteString(w, strings.Repeat(" ", 4096))
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(respond)
			defer server.Close()
			reader := NewReader(time.Now)
			_, err := reader.Load(context.Background(), settings.Target{Address: server.Listener.Addr().String()})
			if err == nil {
				t.Error("an oversized report was accepted")
			}
		})
	}
}
