// Package quota limits what each team uses over all hosts together.
//
// A quota is a rate and a burst, measured over a sliding window with a tolerance.
// Every host counts the team's usage on all hosts: what it admitted itself, and what
// the others report. A host whose reports are missing is assumed to use its equal
// share, so that hosts separated by a network partition together stay within the
// limit.
package quota
