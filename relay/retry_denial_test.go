package relay

import (
	"context"
	"testing"

	"github.com/cornelyard/cornelyard/route"
)

func TestRetryDenialIsRecordedWithItsReason(t *testing.T) {
	cases := []struct {
		name   string
		route  route.Route
		denial RetryDenial
	}{
		{"the request may have run", route.Route{Kind: route.NonIdempotent, MaxAttempts: 3}, DeniedMayHaveRun},
		{"the attempts are used up", route.Route{Kind: route.Idempotent, MaxAttempts: 1}, DeniedAttempts},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, c.route, brokenResponse)
			f.call(context.Background(), nil)
			steps := f.observer.last.Steps
			if last := steps[len(steps)-1]; last.Kind != StepRetryDenied || last.RetryDenial != c.denial {
				t.Errorf("last step is %+v, want a denied retry because of %q", last, c.denial)
			}
		})
	}
}
