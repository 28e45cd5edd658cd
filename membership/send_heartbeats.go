package membership

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/proto/peerpb"
)

// sendHeartbeats sends a heartbeat over each open session in the scope.
func (t *Tracker) sendHeartbeats(now time.Time, scope heartbeatScope) {
	if t.sender == nil {
		return
	}
	base := t.baseHeartbeat()
	for _, host := range t.sender.Connected() {
		if scope == scopeLocalDataCentre && !t.isLocal(host) {
			continue
		}
		heartbeat := base
		updates := t.memberUpdatesFor(host, now)
		if len(updates) > 0 {
			heartbeat = t.baseHeartbeat()
			heartbeat.Members = updates
		}
		t.sendHeartbeat(host, heartbeat)
	}
}

func (t *Tracker) baseHeartbeat() *peerpb.Heartbeat {
	self := &t.detector.self
	return &peerpb.Heartbeat{
		Incarnation:     self.Incarnation,
		SettingsVersion: self.SettingsVersion,
		Leaving:         self.Leaving,
	}
}

// memberUpdatesFor lists the members that changed since the last list sent to the
// host.
func (t *Tracker) memberUpdatesFor(host ident.Host, now time.Time) []*peerpb.Member {
	since, ok := t.membersSentAt[host]
	if !ok {
		return nil
	}
	t.membersSentAt[host] = now
	return membersToProto(t.detector.changedSince(since))
}

func (t *Tracker) sendHeartbeat(host ident.Host, h *peerpb.Heartbeat) {
	frame := &peerpb.Frame{Body: &peerpb.Frame_Heartbeat{Heartbeat: h}}
	if err := t.sender.Send(host, frame); err != nil {
		t.options.Logger.Debug().Str("host", string(host)).Err(err).Msg("Sending a heartbeat failed; the next one replaces it.")
	}
}

func (t *Tracker) isLocal(host ident.Host) bool {
	r, ok := t.detector.members[host]
	return ok && r.DataCentre == t.detector.self.DataCentre
}
