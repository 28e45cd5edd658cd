// Package outcome defines how the end of a request is reported to its caller.
//
// Every refusal and every failed response carries an Outcome and a Reason. The
// Outcome guarantees whether the request was executed; the Reason says why it ended.
package outcome
