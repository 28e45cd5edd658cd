// Package eventlog holds the events that a host logs, with the names of their
// fields, and writes the lines about requests.
//
// Each line is one JSON object. It has the fields time, level, host, part, event and
// message; what else it has depends on the event. docs/OPERATIONS.md explains each.
package eventlog
