// Package peer connects the hosts of the system over mutual TLS: a full mesh of yamux
// sessions within a data centre, and a few sessions to each other data centre.
//
// Frames from one host to another arrive in order, or the session ends. Frames that
// were queued or in flight when a session ends may be lost. SessionDown reports this on
// both sides, which then resynchronize their state. Frames are numbered: a receiver that
// misses one ends the session. A frame for which Send returned
// ErrNoSession or ErrBacklogFull is not delivered, and is never missing between two frames
// of one session.
package peer
