// Package faultproxy is a TCP proxy with fault injection. It forwards connections
// over named links. Faults can be changed while connections are open, for all
// clients of a link or for one client process.
//
// A cut delays bytes instead of dropping them, because TCP would retransmit them
// after the partition heals.
//
// Control listener:
//
//	GET  /links                          list of Link
//	POST /links                          LinkOptions in, Link out
//	POST /links/{name}/faults?source=S   Faults, replaces the faults for S, or for all
//	POST /links/{name}/reset?source=S    resets the connections of S, or of all
//	POST /sources                        Source, registers a client process
package faultproxy
