package rollout

const (
	// maxSenders bounds the hosts and data centres whose reports are kept: three times the
	// largest number of hosts. Reports of further senders are ignored.
	maxSenders = 1024
	// maxReportKeys bounds the size of a report. Larger reports are ignored.
	maxReportKeys = 1024
)

// Evidence adds up the reports of hosts and data centres about one order. Its zero value is
// empty.
type Evidence struct {
	senders map[string]*senderReport
}

// senderReport is what one sender reported.
type senderReport struct {
	incarnation uint64
	report      Report
	// former holds the counts of earlier processes of the sender. The requests that they
	// sent to the candidates remain part of the exposure.
	former Report
}

// Record replaces the sender's report. A higher incarnation is a new process, whose counts
// start again; what earlier processes reported remains in the total. Reports of a lower
// incarnation are late and are ignored.
func (e *Evidence) Record(sender string, incarnation uint64, r Report) {
	if len(r) > maxReportKeys {
		return
	}
	s := e.sender(sender, incarnation)
	if s == nil || incarnation < s.incarnation {
		return
	}
	if incarnation > s.incarnation {
		s.former.add(s.report)
		s.incarnation = incarnation
	}
	s.report = r.clone()
}

// sender returns the state of the sender, or nil if there is no room for another one.
func (e *Evidence) sender(name string, incarnation uint64) *senderReport {
	s := e.senders[name]
	if s != nil || len(e.senders) >= maxSenders {
		return s
	}
	if e.senders == nil {
		e.senders = make(map[string]*senderReport)
	}
	s = &senderReport{incarnation: incarnation, former: make(Report)}
	e.senders[name] = s
	return s
}

// Remove removes all that the sender reported, because another sender's reports include it.
func (e *Evidence) Remove(sender string) { delete(e.senders, sender) }

// Total returns the sum of all reports.
func (e *Evidence) Total() Report {
	total := make(Report)
	for _, s := range e.senders {
		total.add(s.former)
		total.add(s.report)
	}
	return total
}
