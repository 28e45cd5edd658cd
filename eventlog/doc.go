// Package eventlog defines the events in a host's log and the names of their fields.
// It writes the log lines about requests, and reads logs to collect the lines that
// concern one request.
//
// Each line is a JSON object with the fields time, level, host, part, event and
// message. Further fields depend on the event; docs/OPERATIONS.md describes them.
package eventlog
