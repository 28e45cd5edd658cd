package loadmodel

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/schedule"
)

// transfer is a message that arrives at another data centre later.
type transfer struct {
	at     time.Duration
	arrive func()
}

// transfer calls arrive after the delay between two data centres, or at once within one.
func (m *model) transfer(from, to ident.DataCentre, arrive func()) {
	if from == to || m.scenario.DataCentreDelay == 0 {
		arrive()
		return
	}
	m.transfers = append(m.transfers, transfer{at: m.now + m.scenario.DataCentreDelay, arrive: arrive})
}

// deliverTransfers delivers the messages that arrive now, in the order in which they were sent.
func (m *model) deliverTransfers() {
	for len(m.transfers) > 0 && m.transfers[0].at <= m.now {
		next := m.transfers[0]
		m.transfers = m.transfers[1:]
		next.arrive()
	}
}

// deliver hands a request to an engine, unless its caller has left.
func (m *model) deliver(r *request, e *engine) {
	if m.active[r.id] == r {
		e.accept(r)
	}
}

// respond sends the responses of a plain service, with the load of the engine, to the hosts.
func (m *model) respond(e *engine, ended []*request) {
	load := len(e.running) + len(e.queue) + 1
	for _, r := range ended {
		m.transfer(m.roster.Targets[e.name].DataCentre, m.hosts[r.host].dataCentre, func() {
			if m.active[r.id] != r {
				return
			}
			m.hosts[r.host].scheduler.ReportLoad(clock(m.now), r.id, load)
			m.finish(r, schedule.Served)
			r.firstEvent = m.now
			m.recordServed(r)
		})
	}
}
