package loadtable

import (
	"strings"
	"time"

	"github.com/cornelyard/cornelyard/eventlog"
)

// Dimension is a property by which requests are grouped.
type Dimension string

// The dimensions.
const (
	Team       Dimension = "team"
	Route      Dimension = "route"
	Pool       Dimension = "pool"
	DataCentre Dimension = "data-centre"
	Target     Dimension = "target"
	// Prompt is the decile of the number of prompt tokens.
	Prompt    Dimension = "prompt"
	Host      Dimension = "host"
	HostClass Dimension = "host-class"
	// Second is the second in which the request ended.
	Second Dimension = "second"
	// Outcome is served, late, refused or failed, with the reason of a refusal or failure.
	Outcome Dimension = "outcome"
)

// Dimensions returns all dimensions.
func Dimensions() []Dimension {
	return []Dimension{Team, Route, Pool, DataCentre, Target, Prompt, Host, HostClass, Second, Outcome}
}

const (
	// missing is the value of a dimension whose field a line lacks.
	missing = "-"
	// others is the value of all dimensions in the group of the requests beyond MaxGroups.
	others = "(other)"
	// maxValueBytes bounds a value. Gateways write no longer ones.
	maxValueBytes = 200
)

// value returns the value of the dimension for a request. For Prompt it is the size class,
// from which Table.Rows derives the decile.
func (d Dimension) value(r *eventlog.EndedRequest) string {
	switch d {
	case Team:
		return orMissing(r.Team)
	case Route:
		return orMissing(r.Route)
	case Pool:
		return orMissing(r.Pool)
	case DataCentre:
		return orMissing(r.DataCentre)
	case Target:
		return orMissing(r.Target)
	case Prompt:
		return classOf(r.PromptTokens).text()
	case Host:
		return orMissing(r.Host)
	case HostClass:
		return orMissing(r.HostClass)
	case Second:
		return r.At.UTC().Truncate(time.Second).Format(time.RFC3339)
	case Outcome:
		return describeOutcome(r)
	default:
		return missing
	}
}

func orMissing(text string) string {
	if text == "" {
		return missing
	}
	if len(text) > maxValueBytes {
		text = text[:maxValueBytes]
	}
	// The copy doesn't keep the rest of the line in memory.
	return strings.Clone(text)
}
