// Package loadmodel simulates the scheduler under load without a network: engines
// that batch, several hosts that receive each other's state with a delay, and callers
// that abandon and retry requests. It evaluates a scheduling rule within seconds and
// serves tests that check what callers receive.
//
// Simulated time advances in steps of one millisecond. An engine prefills one prompt
// at a time, which slows down decoding for the other requests in the batch.
package loadmodel
