package daemon

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/membership"
)

const (
	// methodSettings is the unary call that returns a host's declarations.
	methodSettings = "settings.get"
	// fetchTimeout bounds one fetch of the declarations from a peer.
	fetchTimeout = 5 * time.Second
)

// fetchSettings fetches the declarations from the member that has the newest
// version and isn't dead. It returns nil if no member has a version newer than
// ownVersion.
func (d *Daemon) fetchSettings(ctx context.Context, ownVersion uint64) ([]byte, error) {
	newest := hostWithNewestSettings(d.tracker.View(), ownVersion)
	if newest == "" {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	return d.mesh.Call(ctx, newest, methodSettings, binary.BigEndian.AppendUint64(nil, ownVersion))
}

func hostWithNewestSettings(view *membership.View, version uint64) ident.Host {
	var newest ident.Host
	for _, m := range view.Members {
		if m.Host == view.Self.Host || m.State == membership.Dead || m.SettingsVersion <= version {
			continue
		}
		newest, version = m.Host, m.SettingsVersion
	}
	return newest
}

// serveSettings implements methodSettings; the body is the caller's version.
func (d *Daemon) serveSettings(_ context.Context, _ ident.Host, body []byte) ([]byte, error) {
	if len(body) != 8 {
		return nil, Error.New("a settings call holds a version of 8 bytes")
	}
	return d.settings.Export(binary.BigEndian.Uint64(body))
}

// publishSettingsVersion publishes the settings version in force on this host to
// the other members whenever it changes, until ctx ends.
func (d *Daemon) publishSettingsVersion(ctx context.Context) error {
	for {
		changed := d.settings.Changed()
		d.tracker.SetSettingsVersion(d.settings.Version())
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}
