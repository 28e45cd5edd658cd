package usage

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// maxForeignReports bounds the kept reports of other processes; the oldest is
// folded into one sum.
const maxForeignReports = 1024

// Aggregator counts for this process and keeps the reports of others. It is safe for
// concurrent use.
type Aggregator struct {
	options Options

	mu      sync.Mutex
	rows    map[Key]*Counters
	foreign map[process]Report
	// folded names the processes whose last reports are in the folded sums.
	folded     map[process]bool
	foldedSums map[Key]*Counters
}

// Options names the process that counts.
type Options struct {
	Host        ident.Host
	Incarnation uint64
}

// process names one run of a host.
type process struct {
	host        ident.Host
	incarnation uint64
}

// NewAggregator returns an empty ledger.
func NewAggregator(o Options) *Aggregator {
	return &Aggregator{
		options:    o,
		rows:       make(map[Key]*Counters),
		foreign:    make(map[process]Report),
		folded:     make(map[process]bool),
		foldedSums: make(map[Key]*Counters),
	}
}

// Add counts under a key.
func (l *Aggregator) Add(key Key, counters Counters) {
	l.mu.Lock()
	defer l.mu.Unlock()
	row := l.rows[key]
	if row == nil {
		row = &Counters{}
		l.rows[key] = row
	}
	row.Add(counters)
}

// Report returns what this process counted, rows sorted by key.
func (l *Aggregator) Report(now time.Time) Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	report := Report{Host: l.options.Host, Incarnation: l.options.Incarnation, At: now}
	for key, counters := range l.rows {
		report.Rows = append(report.Rows, Row{Key: key, Counters: *counters})
	}
	sortRows(report.Rows)
	return report
}

// Merge keeps another process's report in place of its older ones. Reports of
// this process itself are ignored.
func (l *Aggregator) Merge(report Report) {
	name := process{host: report.Host, incarnation: report.Incarnation}
	if name == (process{host: l.options.Host, incarnation: l.options.Incarnation}) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.folded[name] {
		return
	}
	if known, ok := l.foreign[name]; ok && !known.At.Before(report.At) {
		return
	}
	l.foreign[name] = report
	if len(l.foreign) > maxForeignReports {
		l.foldOldest()
	}
}

// RemoteReports returns the kept reports of other processes, so that a host that lost
// its own can be told.
func (l *Aggregator) RemoteReports() []Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	reports := make([]Report, 0, len(l.foreign))
	for _, report := range l.foreign {
		reports = append(reports, report)
	}
	slices.SortFunc(reports, func(a, b Report) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return reports
}

// Summarize adds up this process and all kept reports.
func (l *Aggregator) Summarize(now time.Time) Summary {
	reports := append(l.RemoteReports(), l.Report(now))
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
	l.addFolded(sums)
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

func (l *Aggregator) addFolded(sums map[Key]*Counters) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, counters := range l.foldedSums {
		addRows(sums, []Row{{Key: key, Counters: *counters}})
	}
}

func (l *Aggregator) foldOldest() {
	var oldest process
	var at time.Time
	for name, report := range l.foreign {
		if at.IsZero() || report.At.Before(at) {
			oldest, at = name, report.At
		}
	}
	addRows(l.foldedSums, l.foreign[oldest].Rows)
	l.folded[oldest] = true
	delete(l.foreign, oldest)
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
