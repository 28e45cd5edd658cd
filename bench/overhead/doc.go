// Package overhead measures the latency that the system adds to a call.
//
// It calls a stand-in engine directly and through the hosts in turns, in one
// run and with the same arrivals, so that both see the same machine.
package overhead
