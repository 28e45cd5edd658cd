// Package service is a stand-in for a plain service. It answers any call with
// an Echo of it and counts the calls.
//
// The target listener takes any method and path. GET /load is not special.
//
// Control listener:
//
//	POST /faults   Faults, replaces all faults
//	GET  /record   Record
package service
