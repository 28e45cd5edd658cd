package cli

import (
	"context"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/periodic"
	"github.com/cornelyard/cornelyard/operator/api"
	"github.com/cornelyard/cornelyard/operator/client"
)

// rolloutPollInterval is the interval between two checks whether a version is in
// force.
const rolloutPollInterval = 200 * time.Millisecond

// rollout lists the hosts on which a settings version is in force, and the others.
type rollout struct {
	InForce []ident.Host `json:"inForce"`
	// Behind are reachable hosts that have an older version in force.
	Behind []ident.Host `json:"behind,omitempty"`
	// Unreachable are hosts whose version is unknown.
	Unreachable []api.Unreachable `json:"unreachable,omitempty"`
	// Failure is the error of the last failed status request.
	Failure string `json:"failure,omitempty"`
}

// waitForRollout polls until the version is in force on every reachable host or
// the time limit passes.
func waitForRollout(ctx context.Context, hostClient *client.Client, version uint64, limit time.Duration) *rollout {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	last := &rollout{Behind: []ident.Host{"unknown"}}
	for {
		status, err := hostClient.Status(ctx)
		switch {
		case err == nil:
			last = rolloutOf(status, version)
		case ctx.Err() == nil:
			last.Failure = err.Error()
		}
		if len(last.Behind) == 0 {
			return last
		}
		if !periodic.Sleep(ctx, rolloutPollInterval) {
			return last
		}
	}
}

func rolloutOf(status api.Status, version uint64) *rollout {
	found := &rollout{Unreachable: status.Unreachable}
	for _, host := range status.Hosts {
		if host.SettingsVersion < version {
			found.Behind = append(found.Behind, host.Host)
			continue
		}
		found.InForce = append(found.InForce, host.Host)
	}
	return found
}

func (r *rollout) print(s *Session, version uint64) {
	s.Printf("version %d is in force on %d hosts\n", version, len(r.InForce))
	for _, host := range r.Behind {
		s.PrintErrf("not in force on %s\n", host)
	}
	for _, host := range r.Unreachable {
		s.PrintErrf("not known of %s: %s\n", host.Host, host.Reason)
	}
	if r.Failure != "" {
		s.PrintErrf("the status cannot be read: %s\n", r.Failure)
	}
}
