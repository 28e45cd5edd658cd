// Package service is a stand-in for a plain service. It responds to any call with
// an Echo of it and counts the calls.
//
// The target listener accepts any method and path, including GET /load.
//
// Control listener:
//
//	POST /faults   Faults, replaces all faults
//	GET  /record   Record
package service
