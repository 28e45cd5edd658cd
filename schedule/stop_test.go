package schedule

import (
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/outcome"
)

// unknownOutput returns a request of which the scheduler knows only how long others of its rank took.
func unknownOutput(id string, ms int) Request {
	r := request(id, ms, 0)
	r.OutputTokens = 0
	return r
}

// serveFor lets a request be served in a time.
func serveFor(t *testing.T, s *Scheduler, ms, serviceMs int, id ident.Request) {
	t.Helper()
	r := unknownOutput(string(id), ms)
	runOn(t, s, ms, r)
	s.Finish(at(ms+serviceMs), id, Served)
}

// TestRequestThatOutlastsItsHostIsRefused guards against requests that are sent although they can't end before the host stops.
func TestRequestThatOutlastsItsHostIsRefused(t *testing.T) {
	s := newScheduler(4)
	serveFor(t, s, 0, 200, "earlier")
	s.SetLeaving(at(2000))
	if target := runOn(t, s, 1500, unknownOutput("fits", 1500)); target.Name == "" {
		t.Error("a request that ends in time was refused")
	}
	s.Enqueue(at(1700), unknownOutput("late", 1700))
	checkRefused(t, s, 1700, "late", outcome.Draining)
}

func TestQueuedRequestIsRefusedOnceItOutlastsItsHost(t *testing.T) {
	s := newScheduler(1)
	serveFor(t, s, 0, 200, "earlier")
	runOn(t, s, 1000, unknownOutput("running", 1000))
	s.Enqueue(at(1010), unknownOutput("queued", 1010))
	s.Decide(at(1010))
	s.SetLeaving(at(1600))
	checkRefused(t, s, 1250, "queued", outcome.Draining)
	if s.Queued() != 0 {
		t.Errorf("%d requests are queued, want none", s.Queued())
	}
}

func TestRequestOfUnknownTimeIsTakenOnlyWithItsDeadlineBeforeTheStop(t *testing.T) {
	s := newScheduler(4)
	s.SetLeaving(at(2000))
	short := unknownOutput("short", 100)
	short.Deadline = at(1900)
	runOn(t, s, 100, short)
	long := unknownOutput("long", 110)
	long.Deadline = at(2100)
	s.Enqueue(at(110), long)
	checkRefused(t, s, 110, "long", outcome.Draining)
}

func TestOutputThatOutlastsItsHostIsRefused(t *testing.T) {
	s := newScheduler(4)
	s.SetLeaving(at(4000))
	short := request("short", 0, 0)
	short.OutputTokens = 10
	runOn(t, s, 0, short)
	long := request("long", 10, 0)
	long.OutputTokens, long.Deadline = int(8*time.Second.Seconds()/s.pools["p"].meanTokenTime(at(0))), at(60_000)
	s.Enqueue(at(10), long)
	checkRefused(t, s, 10, "long", outcome.Draining)
}
