package relay

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/route"
)

func TestConfigurationThatMayBeOutdatedRefusesNothingForGood(t *testing.T) {
	for _, c := range []struct {
		name     string
		currency TableCurrency
		want     int
	}{
		{"current", TableCurrency{Age: 2 * time.Second}, http.StatusNotFound},
		{"another host has a newer one", TableCurrency{Age: time.Second, Outdated: true}, http.StatusServiceUnavailable},
		{"not confirmed for long", TableCurrency{Age: time.Minute}, http.StatusServiceUnavailable},
	} {
		f := newFixture(t, route.Route{Kind: route.Idempotent, MaxAttempts: 1}, respond(http.StatusOK, "ok"))
		f.relay.options.TableCurrency = func(time.Time) TableCurrency { return c.currency }
		result, _ := f.call(context.Background(), func(call *Call) { call.HostName = "unknown.example" })
		if result.Refused == nil || result.Refused.Status != c.want {
			t.Errorf("%s: got %+v, want status %d", c.name, result.Refused, c.want)
			continue
		}
		if retry := result.Refused.RetryAfter; (retry > 0) != (c.want == http.StatusServiceUnavailable) {
			t.Errorf("%s: Retry-After is %v", c.name, retry)
		}
	}
}
