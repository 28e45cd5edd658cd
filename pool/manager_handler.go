package pool

import (
	"time"

	"github.com/cornelyard/cornelyard/admission"
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/proto/peerpb"
	"github.com/cornelyard/cornelyard/peer"
	"github.com/cornelyard/cornelyard/quarantine"
)

var _ peer.Handler = (*Manager)(nil)

// HandleFrame implements peer.Handler for the frames that entries and other owners
// send to owners.
func (m *Manager) HandleFrame(from ident.Host, f *peerpb.Frame) {
	now := m.options.Now()
	switch body := f.GetBody().(type) {
	case *peerpb.Frame_Enqueue:
		m.handleEnqueue(now, from, body.Enqueue)
	case *peerpb.Frame_Report:
		m.handleReport(now, from, body.Report)
	case *peerpb.Frame_Cancel:
		m.offer(from, body.Cancel.GetPool(), cancelEvent{id: ident.Request(body.Cancel.GetId())})
	case *peerpb.Frame_Decline:
		m.offer(from, body.Decline.GetPool(), declineEvent{decline: decodeDecline(body.Decline)})
	case *peerpb.Frame_Progress:
		m.offer(from, body.Progress.GetPool(), decodeProgressBatch(body.Progress))
	case *peerpb.Frame_End:
		m.offer(from, body.End.GetPool(), endEvent{
			target: ident.Target(body.End.GetTarget()),
			end:    decodeEnd(body.End),
		})
	case *peerpb.Frame_PoolHint:
		m.handleHint(now, body.PoolHint)
	case *peerpb.Frame_Crashes:
		m.handleCrashes(now, body.Crashes)
	}
}

// SessionUp implements peer.Handler.
func (m *Manager) SessionUp(host ident.Host) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, o := range m.owners {
		o.offer(host, sessionUpEvent{host: host})
	}
}

// SessionDown implements peer.Handler. The requests of the host stay accounted
// for until it sends a new report or is declared dead.
func (m *Manager) SessionDown(ident.Host) {}

func (m *Manager) find(pool string) *runningOwner {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.owners[ident.Pool(pool)]
}

// findOrFallback returns the owner that schedules the sender's requests, or nil.
// A request that this host sends to itself for a pool that it does not own starts
// a fallback owner or extends its fallback period.
func (m *Manager) findOrFallback(from ident.Host, pool string) *runningOwner {
	o := m.find(pool)
	local := from == m.options.Host
	if o != nil && (local || !o.fallback) {
		if o.fallback {
			m.renewFallback(ident.Pool(pool))
		}
		return o
	}
	if !local {
		return nil
	}
	m.renewFallback(ident.Pool(pool))
	m.reconcile(m.options.Members.View(), m.options.Settings.Current())
	return m.find(pool)
}

func (m *Manager) renewFallback(pool ident.Pool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fallbacks[pool] = newFallbackPeriod(m.options.Now())
}

func (m *Manager) offer(from ident.Host, pool string, e event) {
	if o := m.find(pool); o != nil {
		o.offer(from, e)
	}
}

func (m *Manager) handleEnqueue(now time.Time, from ident.Host, e *peerpb.Enqueue) {
	o := m.findOrFallback(from, e.GetPool())
	if o == nil {
		m.sendNotOwner(from, e.GetPool(), e.GetRequest().GetId())
		return
	}
	r := decodeRequest(now, from, ident.Pool(e.GetPool()), e.GetRequest())
	o.offer(from, enqueueEvent{request: r})
}

func (m *Manager) handleReport(now time.Time, from ident.Host, r *peerpb.Report) {
	o := m.findOrFallback(from, r.GetPool())
	if o == nil {
		if len(r.GetQueued())+len(r.GetInService()) > 0 {
			m.sendNotOwner(from, r.GetPool(), "")
		}
		return
	}
	o.offer(from, decodeReport(now, from, r))
}

// sendNotOwner replies that this host does not own the pool.
func (m *Manager) sendNotOwner(to ident.Host, pool, id string) {
	view := m.options.Members.View()
	_ = m.options.Sender.Send(to, &peerpb.Frame{Body: &peerpb.Frame_NotOwner{NotOwner: &peerpb.NotOwner{
		Pool:  pool,
		Id:    id,
		Owner: string(view.Owner(m.options.DataCentre, ident.Pool(pool))),
	}}})
}

func (m *Manager) handleHint(now time.Time, h *peerpb.PoolHint) {
	m.offer("", h.GetPool(), hintEvent{hint: admission.PoolHint{
		DataCentre: ident.DataCentre(h.GetDataCentre()),
		FreeSlots:  int(h.GetFreeSlots()),
		LowestRank: int(h.GetLowestRank()),
		Wait:       time.Duration(h.GetWaitUs()) * time.Microsecond,
		At:         now,
	}})
}

// handleCrashes stores the crashes in case this host becomes the owner of the pool, and
// passes them to the owner if it already is.
func (m *Manager) handleCrashes(now time.Time, list *peerpb.CrashList) {
	crashes := quarantine.Decode(now, list.GetCrashes())
	m.rememberCrashes(now, ident.Pool(list.GetPool()), crashes)
	m.offer("", list.GetPool(), crashEvent{crashes: crashes})
}

func (m *Manager) rememberCrashes(now time.Time, name ident.Pool, crashes []quarantine.Crash) {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := m.crashes[name]
	if known == nil {
		known = quarantine.NewTracker()
		m.crashes[name] = known
	}
	for _, c := range crashes {
		known.Merge(now, c)
	}
}

func decodeDecline(d *peerpb.Decline) admission.Decline {
	return admission.Decline{
		ID:     ident.Request(d.GetId()),
		Target: ident.Target(d.GetTarget()),
		Cause:  admission.DeclineCause(d.GetCause()),
	}
}

func decodeProgressBatch(b *peerpb.ProgressBatch) progressEvent {
	items := make([]admission.Progress, 0, len(b.GetItems()))
	for _, item := range b.GetItems() {
		items = append(items, decodeProgress(item))
	}
	return progressEvent{items: items}
}

func decodeReport(now time.Time, from ident.Host, r *peerpb.Report) reportEvent {
	pool := ident.Pool(r.GetPool())
	e := reportEvent{from: from, epoch: r.GetEpoch()}
	for _, info := range r.GetQueued() {
		e.queued = append(e.queued, decodeRequest(now, from, pool, info))
	}
	for _, s := range r.GetInService() {
		e.dispatched = append(e.dispatched, admission.DispatchedRequest{
			Request:    decodeRequest(now, from, pool, s.GetRequest()),
			Target:     ident.Target(s.GetTarget()),
			Dispatched: now.Add(-time.Duration(s.GetSinceDispatchMs()) * time.Millisecond),
			Tokens:     int(s.GetTokens()),
		})
	}
	return e
}
