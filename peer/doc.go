// Package peer connects the hosts of the system: a full mesh of yamux sessions
// inside a data centre and a few sessions to each other data centre, all over
// mutual TLS.
//
// Frames from one host to another arrive in order, or the session ends. A frame
// that was handed over may be lost when a session ends; SessionDown tells both
// sides, which then exchange their state anew.
package peer
