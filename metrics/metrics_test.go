package metrics

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

func TestMetricsAreServed(t *testing.T) {
	m, other := New(), New()
	m.Scope.Tagged(map[string]string{TagTier: "top"}).Counter(RequestsCompleted).Inc(3)
	m.Scope.Gauge(SettingsVersion).Update(7)
	Latency(m.Scope, QueueAge).RecordDuration(3 * time.Millisecond)
	other.Scope.Counter(RequestsCompleted).Inc(1)
	for _, metrics := range []Metrics{m, other} {
		if err := metrics.Closer.Close(); err != nil {
			t.Fatal(err)
		}
	}
	recorder := httptest.NewRecorder()
	m.Handler.ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	body := recorder.Body.String()
	for _, want := range []string{
		`cornelyard_requests_completed{tier="top"} 3`,
		`cornelyard_settings_version 7`,
		`cornelyard_queue_age_seconds_bucket{le="0.004"} 1`,
		`cornelyard_queue_age_seconds_bucket{le="0.002"} 0`,
	} {
		if !strings.Contains(body, want+"\n") {
			t.Errorf("line %q is missing in\n%s", want, body)
		}
	}
}
