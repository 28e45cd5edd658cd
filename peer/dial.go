package peer

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/membership"
)

// dialler opens missing sessions. It is used by a single goroutine.
type dialler struct {
	mesh *Mesh
	// viewVersion is the version of the view from which plannedMembers was computed.
	viewVersion    uint64
	plannedMembers []membership.Member
	seeds          []*seed
}

// runDialler dials hosts without a session until ctx is done.
func (m *Mesh) runDialler(ctx context.Context) error {
	d := &dialler{mesh: m}
	for _, address := range m.options.Seeds {
		d.seeds = append(d.seeds, newSeed(address))
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-m.dialWake:
		case <-m.options.Members.Changed():
		}
		timer.Reset(max(d.dialDue(ctx, time.Now()), minDialCheckInterval))
	}
}

// dialDue starts the dials that are due and returns the time until the next one.
func (d *dialler) dialDue(ctx context.Context, now time.Time) time.Duration {
	view := d.mesh.options.Members.View()
	if view.Version != d.viewVersion {
		d.viewVersion = view.Version
		d.plannedMembers = plannedMembers(view)
	}
	wait := maxDialCheckInterval
	for _, member := range d.plannedMembers {
		wait = min(wait, d.dialMember(ctx, member, now))
	}
	wait = min(wait, d.maintainLinks(ctx, view, now))
	return min(wait, d.dialSeeds(ctx, view, now))
}

// maintainLinks dials the hosts for which frames or calls are waiting, closes idle
// sessions to dead members, and removes the links of hosts that are no longer members.
func (d *dialler) maintainLinks(ctx context.Context, view *membership.View, now time.Time) time.Duration {
	wait := maxDialCheckInterval
	for _, l := range d.mesh.links.all() {
		member, known := view.Member(l.host)
		if !known {
			if l.hostRemoved() {
				d.mesh.connectionTasks.Go(func() { l.deliver(func() { d.mesh.handlers.sessionDown(l.host) }) })
			}
			d.mesh.links.removeUnused(l)
			continue
		}
		if member.State == membership.Dead {
			wait = min(wait, l.closeIfIdle(now))
		}
		if l.hasDemand() {
			wait = min(wait, d.dialMember(ctx, member, now))
		}
	}
	return wait
}

func (d *dialler) dialMember(ctx context.Context, member membership.Member, now time.Time) time.Duration {
	m := d.mesh
	l := m.links.findOrCreate(member.Host)
	immediate := m.self < member.Host || l.hasDemand()
	started, wait := l.tryBeginDial(now, immediate)
	if started {
		m.connectionTasks.Go(func() { m.dialLink(ctx, l, member.PeerAddress) })
	}
	return wait
}

func (m *Mesh) dialLink(ctx context.Context, l *link, address string) {
	defer m.wakeDialler()
	s, err := m.dial(ctx, address)
	if err == nil && s.host == l.host {
		s.run(ctx)
		return
	}
	if errors.Is(err, errDuplicate) {
		l.dialSuperseded(time.Now())
		return
	}
	if isConnectionRefused(err) {
		m.handlers.dialRefused(l.host)
	}
	if l.dialFailed(time.Now()) {
		l.deliver(func() { m.handlers.sessionDown(l.host) })
	}
	if err != nil {
		m.recordHandshakeFailure("dialled", address, err)
		return
	}
	// The address now belongs to another host: keep the session to that host.
	s.run(ctx)
}

// dial opens a session to whichever host listens at the address.
func (m *Mesh) dial(ctx context.Context, address string) (*session, error) {
	select {
	case m.dialSlots <- struct{}{}:
		defer func() { <-m.dialSlots }()
	case <-ctx.Done():
		return nil, errStopped
	}
	startTime := time.Now()
	d := net.Dialer{Timeout: dialTimeout}
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	t, err := m.handshakeDialled(ctx, raw, startTime)
	if err != nil {
		return nil, err
	}
	return m.establishSession(t)
}

// memberByAddress returns the member that has the given peer address.
func memberByAddress(view *membership.View, address string) (ident.Host, bool) {
	for _, m := range view.Members {
		if m.PeerAddress == address {
			return m.Host, true
		}
	}
	return "", false
}
