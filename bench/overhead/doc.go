// Package overhead measures the latency that the system adds to a call.
//
// Phases of direct calls to a stand-in engine alternate with phases of calls through
// the hosts, in one run and with the same arrivals, so that both are measured under the
// same conditions of the machine.
package overhead
