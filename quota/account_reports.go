package quota

import (
	"github.com/cornelyard/cornelyard/ident"
)

// mergeHost applies the total that another host reports. The total is lower than the
// previous one if the host refunded usage in between.
func (a *account) mergeHost(from source, usage Usage) {
	previous, known := a.hostTotals[from]
	a.hostTotals[from] = usage.Total
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
		a.addReported(source{dataCentre: dc}, total-previous)
	}
}

// addReported counts usage that a source reports in addition to its earlier reports.
// What was assumed for the source while it was stale is deducted first.
func (a *account) addReported(from source, amount float64) {
	a.reported.add(amount)
	if assumed := a.assumed[from]; assumed > 0 {
		amount = max(0, amount-assumed)
		delete(a.assumed, from)
	}
	a.addFrom(from, amount)
}

// addFrom counts usage of a source.
func (a *account) addFrom(from source, amount float64) {
	w := a.bySource[from]
	if w == nil {
		w = newWindow(a.updatedAt, a.limits.Window, 0, 0)
		a.bySource[from] = w
	}
	w.advance(a.updatedAt)
	w.add(amount)
	a.add(amount)
}

// resetHost notes that another host restarted and counts from zero again. Usage that
// was assumed while it was stale does not cover what its new process admits.
func (a *account) resetHost(from source) {
	a.hostTotals[from] = 0
	delete(a.assumed, from)
}

// resetReporter drops a reporter's baseline, because its totals start from zero again.
// What was admitted in the meantime is reported by another host of its data centre.
func (a *account) resetReporter(reporter ident.Host) { delete(a.dataCentreTotals, reporter) }
