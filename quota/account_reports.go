package quota

import (
	"github.com/cornelyard/cornelyard/ident"
)

// mergeHost applies the total that another host reports. The total is lower than the
// previous one if the host refunded usage in between.
func (a *account) mergeHost(from *sourceUsage, usage Usage) {
	previous, known := from.total, from.known
	from.total, from.known = usage.Total, true
	if !known && usage.WarmedUp {
		// It is not known when the host admitted this total. What falls within the
		// window was included when this account was opened.
		return
	}
	// A host that has run for less than a window admitted its total within one.
	a.dataCentreUsage += usage.Total - previous
	a.addReported(from, usage.Total-previous)
}

// mergeDataCentre applies a reporter's total for the hosts of its data centre since
// its start. The first total is only a baseline. Later increases are counted if this is
// the reporter selected for the data centre.
func (a *account) mergeDataCentre(dc ident.DataCentre, reporter ident.Host, total float64, counted bool) {
	previous, known := a.dataCentreTotals[reporter]
	a.dataCentreTotals[reporter] = total
	if known && counted {
		a.addReported(a.sourceOf(source{dataCentre: dc}), total-previous)
	}
}

// addReported counts usage that a source reports in addition to its earlier reports.
// What was assumed for the source while it was stale is deducted first.
func (a *account) addReported(from *sourceUsage, amount float64) {
	if amount == 0 && from.assumed == 0 {
		return
	}
	a.reported.add(amount)
	if from.assumed > 0 {
		amount = max(0, amount-from.assumed)
		from.assumed = 0
	}
	a.addFrom(from, amount)
}

// addFrom counts usage of a source.
func (a *account) addFrom(from *sourceUsage, amount float64) {
	if from.window == nil {
		from.window = newWindow(a.updatedAt, a.limits.Window, 0, 0)
	}
	from.window.advance(a.updatedAt)
	from.window.add(amount)
	a.add(amount)
}

// sourceOf returns what is known of the usage of a source.
func (a *account) sourceOf(from source) *sourceUsage {
	s := a.sources[from]
	if s == nil {
		s = &sourceUsage{}
		a.sources[from] = s
	}
	return s
}

// resetHost notes that another host restarted and counts from zero again. Usage that
// was assumed while it was stale does not cover what its new process admits.
func (a *account) resetHost(from source) {
	s := a.sourceOf(from)
	s.total, s.known, s.assumed = 0, true, 0
}

// resetReporter drops a reporter's baseline, because its totals start from zero again.
// What was admitted in the meantime is reported by another host of its data centre.
func (a *account) resetReporter(reporter ident.Host) { delete(a.dataCentreTotals, reporter) }
