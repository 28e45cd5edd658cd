// Package schedule decides, for one host, which of its waiting requests goes to
// which target and which are refused.
//
// Every host schedules its own requests. The hosts tell each other what they have
// in service and in their queues, so that each decides on the load of all: a free
// slot is taken by the host whose request comes first in the common order. What is
// told is a few milliseconds old, so two hosts now and then take one slot; the
// target then queues one request for a moment. No promise to callers rests on the
// hosts agreeing, and a host that hears nobody goes on with what it sees itself.
//
// The package has no clock, no I/O and no goroutine.
package schedule
