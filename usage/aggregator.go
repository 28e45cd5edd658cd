package usage

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// maxRemoteReports bounds the number of reports kept from other processes. Beyond it,
// the oldest is folded into one sum.
const maxRemoteReports = 1024

// Aggregator counts the usage of this process and keeps the reports of others. It is
// safe for concurrent use.
type Aggregator struct {
	options Options

	mu     sync.Mutex
	rows   map[Key]*Counters
	remote map[process]Report
	// folded holds the processes whose last reports are included in foldedSums.
	folded     map[process]bool
	foldedSums map[Key]*Counters
}

// NewAggregator returns an aggregator without rows.
func NewAggregator(o Options) *Aggregator {
	return &Aggregator{
		options:    o,
		rows:       make(map[Key]*Counters),
		remote:     make(map[process]Report),
		folded:     make(map[process]bool),
		foldedSums: make(map[Key]*Counters),
	}
}

// Add adds counters to the row of a key.
func (agg *Aggregator) Add(key Key, counters Counters) {
	agg.mu.Lock()
	defer agg.mu.Unlock()
	row := agg.rows[key]
	if row == nil {
		row = &Counters{}
		agg.rows[key] = row
	}
	row.Add(counters)
}

// Report returns what this process has counted, with the rows sorted by key.
func (agg *Aggregator) Report(now time.Time) Report {
	agg.mu.Lock()
	defer agg.mu.Unlock()
	report := Report{Host: agg.options.Host, Incarnation: agg.options.Incarnation, At: now}
	for key, counters := range agg.rows {
		report.Rows = append(report.Rows, Row{Key: key, Counters: *counters})
	}
	sortRows(report.Rows)
	return report
}

// Merge stores another process's report in place of its older ones. Reports of this
// process itself are ignored.
func (agg *Aggregator) Merge(report Report) {
	name := process{host: report.Host, incarnation: report.Incarnation}
	if name == (process{host: agg.options.Host, incarnation: agg.options.Incarnation}) {
		return
	}
	agg.mu.Lock()
	defer agg.mu.Unlock()
	if agg.folded[name] {
		return
	}
	if known, ok := agg.remote[name]; ok && !known.At.Before(report.At) {
		return
	}
	agg.remote[name] = report
	if len(agg.remote) > maxRemoteReports {
		agg.foldOldest()
	}
}

// RemoteReports returns the stored reports of other processes, so that a host can
// recover reports that it has lost.
func (agg *Aggregator) RemoteReports() []Report {
	agg.mu.Lock()
	defer agg.mu.Unlock()
	reports := make([]Report, 0, len(agg.remote))
	for _, report := range agg.remote {
		reports = append(reports, report)
	}
	slices.SortFunc(reports, func(a, b Report) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return reports
}

// Summarize adds up the counters of this process and of all stored reports.
func (agg *Aggregator) Summarize(now time.Time) Summary {
	reports := append(agg.RemoteReports(), agg.Report(now))
	sums := make(map[Key]*Counters)
	var summary Summary
	for _, report := range reports {
		summary.Sources = append(summary.Sources, Source{
			Host:        report.Host,
			Incarnation: report.Incarnation,
			At:          report.At,
		})
		addRows(sums, report.Rows)
	}
	agg.addFolded(sums)
	for key, counters := range sums {
		summary.Rows = append(summary.Rows, Row{Key: key, Counters: *counters})
	}
	sortRows(summary.Rows)
	slices.SortFunc(summary.Sources, func(a, b Source) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return summary
}

func addRows(sums map[Key]*Counters, rows []Row) {
	for _, row := range rows {
		sum := sums[row.Key]
		if sum == nil {
			sum = &Counters{}
			sums[row.Key] = sum
		}
		sum.Add(row.Counters)
	}
}

func (agg *Aggregator) addFolded(sums map[Key]*Counters) {
	agg.mu.Lock()
	defer agg.mu.Unlock()
	for key, counters := range agg.foldedSums {
		addRows(sums, []Row{{Key: key, Counters: *counters}})
	}
}

func (agg *Aggregator) foldOldest() {
	var oldest process
	var at time.Time
	for name, report := range agg.remote {
		if at.IsZero() || report.At.Before(at) {
			oldest, at = name, report.At
		}
	}
	addRows(agg.foldedSums, agg.remote[oldest].Rows)
	agg.folded[oldest] = true
	delete(agg.remote, oldest)
}

func sortRows(rows []Row) {
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(
			cmp.Compare(a.Team, b.Team),
			cmp.Compare(a.Tier, b.Tier),
			cmp.Compare(a.Pool, b.Pool),
			cmp.Compare(a.Target, b.Target),
		)
	})
}
