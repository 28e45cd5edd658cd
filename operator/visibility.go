package operator

import (
	"strings"

	"github.com/cornelyard/cornelyard/settings"
	"github.com/cornelyard/cornelyard/timeline"
	"github.com/cornelyard/cornelyard/usage"
)

// mayRead reports whether the principal may read the document at path: a team may
// read its own and the shared documents, but not those of other teams.

func mayRead(principal settings.Principal, path string) bool {
	return !strings.HasPrefix(path, "teams/") || principal.MayChange(path)
}

func visibleDocuments(principal settings.Principal, prefix string, all []settings.Document) []settings.Document {
	visible := []settings.Document{}
	for _, d := range all {
		if strings.HasPrefix(d.Path, prefix) && mayRead(principal, d.Path) {
			visible = append(visible, d)
		}
	}
	return visible
}

// visibleRecords removes the edits of other teams' documents, and records that
// have no other edits.
func visibleRecords(principal settings.Principal, all []settings.Record) []settings.Record {
	visible := []settings.Record{}
	for _, r := range all {
		var edits []settings.Edit
		for _, edit := range r.Edits {
			if mayRead(principal, edit.Path) {
				edits = append(edits, edit)
			}
		}
		if len(edits) > 0 {
			r.Edits = edits
			visible = append(visible, r)
		}
	}
	return visible
}

func visibleEvents(principal settings.Principal, all []timeline.Event) []timeline.Event {
	if principal.Operator {
		return all
	}
	var visible []timeline.Event
	for _, e := range all {
		if e.Team == principal.Team {
			visible = append(visible, e)
		}
	}
	return visible
}

func visibleRows(principal settings.Principal, all []usage.Row) []usage.Row {
	visible := []usage.Row{}
	for _, row := range all {
		if principal.Operator || row.Team == principal.Team {
			visible = append(visible, row)
		}
	}
	return visible
}
