// Package trial permits the runs that show whether content crashes targets.
//
// A trial is a run of content that is a suspect (package quarantine). At most one trial
// of a content is in flight over all hosts, and until one is served there are at most
// maxRuns of them. A row of the platform's table for each content on trial ensures that:
// a host begins a trial by a conditional write, so hosts that do not reach each other
// cannot begin two, and hosts that have restarted know how many there were.
//
// A host that gets no answer from the table permits itself one trial at a time, so content
// is not refused for as long as an outage lasts.
package trial
