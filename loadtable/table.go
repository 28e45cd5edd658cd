package loadtable

import (
	"slices"

	"github.com/cornelyard/cornelyard/eventlog"
)

// MaxGroups bounds the groups of a table. Two histograms of 14 KB each take 84 MB for all groups, and
// Rows needs up to half of that in addition if size classes of prompts are merged. A table with more
// rows is no use to a reader.
const MaxGroups = 3000

// maxDimensions is the number of dimensions in Dimensions. Keys are arrays so that they can be
// compared.
const maxDimensions = 10

// key identifies a group by its values.
type key [maxDimensions]string

// Table groups requests by dimensions.
type Table struct {
	by     []Dimension
	groups map[key]*group
	// rest holds the requests of groups beyond MaxGroups, or is nil.
	rest    *group
	deciles promptDeciles
}

// New returns an empty table. The dimensions must differ from each other.
func New(by ...Dimension) *Table {
	return &Table{by: by, groups: make(map[key]*group), deciles: make(promptDeciles)}
}

// Add counts a request.
func (t *Table) Add(r *eventlog.EndedRequest) {
	t.deciles.add(r.PromptTokens, r.Represents)
	t.groupOf(r).add(r)
}

func (t *Table) groupOf(r *eventlog.EndedRequest) *group {
	var k key
	for i, dimension := range t.by {
		k[i] = dimension.value(r)
	}
	if g := t.groups[k]; g != nil {
		return g
	}
	if len(t.groups) < MaxGroups {
		g := &group{}
		t.groups[k] = g
		return g
	}
	if t.rest == nil {
		t.rest = &group{}
	}
	return t.rest
}

// Full reports whether there were more groups than the table holds, so that its last row sums
// up the others.
func (t *Table) Full() bool { return t.rest != nil }

// Rows returns the rows, sorted by their values. Without dimensions it is one row.
func (t *Table) Rows() []Row {
	if len(t.by) == 0 && len(t.groups) == 0 {
		return []Row{{}}
	}
	labels := t.deciles.labels()
	groupsOf := make(map[key][]*group)
	for k, g := range t.groups {
		k = t.withDeciles(k, labels)
		groupsOf[k] = append(groupsOf[k], g)
	}
	rows := make([]Row, 0, len(groupsOf)+1)
	for k, groups := range groupsOf {
		rows = append(rows, sum(groups).row(slices.Clone(k[:len(t.by)])))
	}
	slices.SortFunc(rows, func(a, b Row) int { return slices.Compare(a.Values, b.Values) })
	if t.rest != nil {
		rows = append(rows, t.rest.row(slices.Repeat([]string{others}, len(t.by))))
	}
	return rows
}

// withDeciles replaces the size class of prompts by their decile.
func (t *Table) withDeciles(k key, labels map[string]string) key {
	for i, dimension := range t.by {
		if label, ok := labels[k[i]]; dimension == Prompt && ok {
			k[i] = label
		}
	}
	return k
}
