// Package faultproxy forwards TCP connections over named links whose faults can
// be set while connections are open, for all who use a link or for one of the
// processes that do.
//
// A cut holds bytes back in place of losing them, as TCP would send them again
// once the path is back.
//
// Control listener:
//
//	GET  /links                          list of Link
//	POST /links                          LinkOptions in, Link out
//	POST /links/{name}/faults?source=S   Faults, replaces those of S, or of all
//	POST /links/{name}/reset?source=S    resets the connections of S, or all
//	POST /sources                        Source, the process known by that name
package faultproxy
