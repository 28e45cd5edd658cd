package cli

import (
	"context"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/operator/api"
	"github.com/cornelyard/cornelyard/operator/client"
)

// forceInterval is the time between two looks whether a version is in force.
const forceInterval = 200 * time.Millisecond

// force tells on which hosts a version is in force.
type force struct {
	InForce []ident.Host `json:"inForce"`
	// Behind are hosts that can be reached and have an older version.
	Behind []ident.Host `json:"behind,omitempty"`
	// Unreachable are hosts that nothing is known of.
	Unreachable []api.Unreachable `json:"unreachable,omitempty"`
	// Failure says why the last look failed.
	Failure string `json:"failure,omitempty"`
}

// waitForForce looks until the version is in force on every host that can be
// reached, or the time is over.
func waitForForce(ctx context.Context, system *client.Client, version uint64, limit time.Duration) *force {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	last := &force{Behind: []ident.Host{"unknown"}}
	for {
		status, err := system.Status(ctx)
		switch {
		case err == nil:
			last = forceOf(status, version)
		case ctx.Err() == nil:
			last.Failure = err.Error()
		}
		if len(last.Behind) == 0 {
			return last
		}
		select {
		case <-ctx.Done():
			return last
		case <-time.After(forceInterval):
		}
	}
}

func forceOf(status api.Status, version uint64) *force {
	found := &force{Unreachable: status.Unreachable}
	for _, host := range status.Hosts {
		if host.SettingsVersion < version {
			found.Behind = append(found.Behind, host.Host)
			continue
		}
		found.InForce = append(found.InForce, host.Host)
	}
	return found
}

func (f *force) print(s *Session, version uint64) {
	s.Printf("version %d is in force on %d hosts\n", version, len(f.InForce))
	for _, host := range f.Behind {
		s.PrintErrf("not in force on %s\n", host)
	}
	for _, host := range f.Unreachable {
		s.PrintErrf("not known of %s: %s\n", host.Host, host.Reason)
	}
	if f.Failure != "" {
		s.PrintErrf("the status cannot be read: %s\n", f.Failure)
	}
}
