package membership

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/proto/peerpb"
)

type heartbeatInput struct {
	from      ident.Host
	heartbeat *peerpb.Heartbeat
}

func (in heartbeatInput) apply(t *Tracker, now time.Time) {
	h := in.heartbeat
	t.detector.handleHeartbeat(heartbeat{
		host:            in.from,
		incarnation:     h.GetIncarnation(),
		settingsVersion: h.GetSettingsVersion(),
		leaving:         h.GetLeaving(),
	}, now)
	t.detector.handleMemberList(in.from, membersFromProto(h.GetMembers()), now)
	t.reportNewerVersion(h.GetSettingsVersion())
}
