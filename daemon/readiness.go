package daemon

import (
	"context"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/membership"
	"github.com/cornelyard/cornelyard/storage"
)

// joinTimeout bounds the wait of a starting host for other members. A host that
// has reached none by then serves on its own.
const joinTimeout = 3 * time.Second

// ready returns the reason why this host is not ready to serve callers, or nil.
func (d *Daemon) ready() error {
	if err := d.settings.Ready(); err != nil {
		return err
	}
	if !d.trials.Scanned() {
		return Error.New("the contents on trial have not been read yet")
	}
	return d.checkJoined(time.Now())
}

// checkJoined returns nil once another member is alive, joinTimeout has passed, or
// the host list and the seeds show that there is no other host. Until then, this
// host would consider itself the owner of every pool.
func (d *Daemon) checkJoined(now time.Time) error {
	if now.Sub(d.started) > joinTimeout || seesPeer(d.tracker.View()) {
		return nil
	}
	entries, err := d.hosts.Hosts(context.Background())
	if err == nil && len(d.config.Seeds) == 0 && !listsPeer(entries, d.config.Host) {
		return nil
	}
	return Error.New("no other host has been met yet")
}

func seesPeer(view *membership.View) bool {
	for _, m := range view.Members {
		if m.Host != view.Self.Host && m.State == membership.Alive {
			return true
		}
	}
	return false
}

func listsPeer(entries []storage.HostEntry, self ident.Host) bool {
	for _, e := range entries {
		if e.Role == storage.RoleEntry && e.Name != string(self) {
			return true
		}
	}
	return false
}
