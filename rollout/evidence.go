package rollout

// Evidence adds up the reports of hosts and data centres. Its zero value is empty.
type Evidence struct {
	senders map[string]senderReport
}

type senderReport struct {
	incarnation uint64
	report      Report
}

// Record replaces the sender's report.
func (e *Evidence) Record(sender string, incarnation uint64, r Report) {
	if e.senders == nil {
		e.senders = make(map[string]senderReport)
	}
	e.senders[sender] = senderReport{incarnation: incarnation, report: r}
}

// Remove removes the sender.
func (e *Evidence) Remove(sender string) { delete(e.senders, sender) }

// Total returns the sum of all reports.
func (e *Evidence) Total() Report {
	total := make(Report)
	for _, s := range e.senders {
		for key, counts := range s.report {
			sum := total[key]
			sum.Add(counts)
			total[key] = sum
		}
	}
	return total
}
