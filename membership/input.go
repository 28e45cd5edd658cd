package membership

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/proto/peerpb"
	"github.com/cornelyard/cornelyard/storage"
)

// input is an event for the tracker's loop to process.
type input interface {
	apply(t *Tracker, now time.Time)
}

type helloInput struct{ hello *peerpb.Hello }

func (in helloInput) apply(t *Tracker, now time.Time) {
	self := memberFromProto(in.hello.GetSelf())
	t.detector.handleHello(self.Member, now)
	t.detector.handleMemberList(self.Host, membersFromProto(in.hello.GetMembers()), now)
	t.reportNewerVersion(in.hello.GetSettingsVersion())
}

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

type sessionUpInput struct{ host ident.Host }

func (in sessionUpInput) apply(t *Tracker, now time.Time) {
	t.membersSentAt[in.host] = now.Add(-maxHelloAge)
}

type sessionDownInput struct{ host ident.Host }

func (in sessionDownInput) apply(t *Tracker, _ time.Time) {
	delete(t.membersSentAt, in.host)
	t.detector.handleSessionClosed(in.host)
}

type refusedInput struct{ host ident.Host }

func (in refusedInput) apply(t *Tracker, now time.Time) {
	t.detector.handleDialRefused(in.host, now)
}

type hostListInput struct{ hosts []storage.HostEntry }

func (in hostListInput) apply(t *Tracker, now time.Time) {
	t.detector.applyHostList(in.hosts, now)
}

func (t *Tracker) reportNewerVersion(version uint64) {
	if t.onSettingsVersion != nil && version > t.version.Load() {
		t.onSettingsVersion(version)
	}
}
