// Package outcome defines what a caller is told about its request.
//
// Every refusal and every failed answer carries an Outcome and a Reason. The
// Outcome is a promise about execution; the Reason tells why.
package outcome
