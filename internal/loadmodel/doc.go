// Package loadmodel plays a load against the scheduler without a network: engines
// that batch, several hosts that hear of each other late, and callers that leave and
// come back. It is for trying a rule of scheduling in seconds, and for tests that
// check what callers get.
//
// Time goes in steps of a millisecond. The engines are simple: a prompt is computed
// before the next one, and slows the tokens of the requests beside it.
package loadmodel
