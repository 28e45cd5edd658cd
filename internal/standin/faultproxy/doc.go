// Package faultproxy forwards TCP connections over named links whose faults can
// be set while connections are open.
//
// A cut holds bytes back in place of losing them, as TCP would send them again
// once the path is back.
//
// Control listener:
//
//	GET  /links                  list of Link
//	POST /links                  LinkOptions in, Link out
//	POST /links/{name}/faults    Faults, replaces the link's faults
//	POST /links/{name}/reset     resets the link's connections
package faultproxy
