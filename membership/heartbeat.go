package membership

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/proto/peerpb"
)

// audience chooses who gets a heartbeat.
type audience int

const (
	ownDataCentre audience = iota
	everyone
)

// beat sends a heartbeat over each open session of the audience.
func (t *Tracker) beat(now time.Time, to audience) {
	if t.sender == nil {
		return
	}
	plain := t.plainHeartbeat()
	for _, host := range t.sender.Connected() {
		if to == ownDataCentre && !t.isLocal(host) {
			continue
		}
		heartbeat := plain
		changes := t.changesFor(host, now)
		if len(changes) > 0 {
			heartbeat = t.plainHeartbeat()
			heartbeat.Members = changes
		}
		t.sendHeartbeat(host, heartbeat)
	}
}

func (t *Tracker) plainHeartbeat() *peerpb.Heartbeat {
	self := &t.state.self
	return &peerpb.Heartbeat{
		Incarnation:     self.Incarnation,
		SettingsVersion: self.SettingsVersion,
		Leaving:         self.Leaving,
	}
}

// changesFor lists the members that changed since the host was last told.
func (t *Tracker) changesFor(host ident.Host, now time.Time) []*peerpb.Member {
	since, ok := t.told[host]
	if !ok {
		return nil
	}
	t.told[host] = now
	return membersToProto(t.state.changedSince(since))
}

func (t *Tracker) sendHeartbeat(host ident.Host, h *peerpb.Heartbeat) {
	frame := &peerpb.Frame{Body: &peerpb.Frame_Heartbeat{Heartbeat: h}}
	if err := t.sender.Send(host, frame); err != nil {
		t.options.Logger.Debug().Str("host", string(host)).Err(err).Msg("Heartbeat not sent.")
	}
}

func (t *Tracker) isLocal(host ident.Host) bool {
	r, ok := t.state.members[host]
	return ok && r.DataCentre == t.state.self.DataCentre
}
