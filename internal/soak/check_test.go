package soak

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/internal/testbed"
	"github.com/cornelyard/cornelyard/internal/verdict"
	"github.com/cornelyard/cornelyard/platform/platformtest"
)

var begun = time.Unix(1_000_000, 0)

// scene is an execution with one host and one target whose calls are made up.
func scene(t *testing.T, calls ...*call) *execution {
	t.Helper()
	h := &host{Process: &testbed.Process{Name: "h-0"}}
	replica := platformtest.NewReplica("t-0")
	t.Cleanup(replica.Close)
	s := &system{hosts: []*host{h}, targets: []*target{{name: "t-0", replica: replica}}}
	for _, c := range calls {
		c.host, c.begun = h, begun
		if c.ended.IsZero() {
			c.ended = begun.Add(time.Millisecond)
		}
	}
	return &execution{system: s, callers: &callers{system: s, calls: calls}, injector: &injector{system: s}}
}

// reach sends a request to the target of the scene.
func (r *execution) reach(t *testing.T, id string, times int) {
	t.Helper()
	caller := platformtest.NewCaller(r.system.targets[0].replica.Address(), platformtest.Key)
	defer caller.Close()
	for range times {
		reply := caller.Do(context.Background(), platformtest.Request{ID: id, Method: http.MethodPost, Path: "/", Deadline: time.Second})
		if !reply.Succeeded() {
			t.Fatalf("the stand-in answered %+v", reply)
		}
	}
}

func newCall(id, path string, status int, body string) *call {
	return &call{
		try:   platformtest.Request{ID: id, Path: path},
		reply: platformtest.Reply{Status: status, Body: body, Signed: true},
	}
}

func checkBroken(t *testing.T, v verdict.Verdict, want int) {
	t.Helper()
	if v.Violations != want || v.Checked == 0 {
		t.Errorf("%s: broken %d of %d times, not %d: %q", v.Promise, v.Violations, v.Checked, want, v.Examples)
	}
}

func TestForeignAnswersAreFound(t *testing.T) {
	r := scene(t,
		newCall("a", platformtest.PathRead, http.StatusOK, answerTo("a", platformtest.PathRead)),
		newCall("b", platformtest.PathRead, http.StatusOK, answerTo("a", platformtest.PathRead)),
		newCall("c", platformtest.PathStream, http.StatusOK, event("c", 0)),
	)
	checkBroken(t, r.checkAnswers(), 2)
}

func TestSecondRunsAreFound(t *testing.T) {
	r := scene(t, newCall("a", platformtest.PathWrite, 0, ""), newCall("b", platformtest.PathWrite, 0, ""))
	r.reach(t, "a", 2)
	r.reach(t, "b", 1)
	checkBroken(t, r.checkOnce(r.system.runs()), 1)
}

func TestRefusedRequestsThatRanAreFound(t *testing.T) {
	r := scene(t,
		newCall("a", platformtest.PathRead, http.StatusServiceUnavailable, ""),
		newCall("b", platformtest.PathRead, http.StatusTooManyRequests, ""),
	)
	r.reach(t, "b", 1)
	checkBroken(t, r.checkRefusals(r.system.runs()), 1)
}

func TestLateEndsAreFoundOnHostsWithoutFault(t *testing.T) {
	late := newCall("a", platformtest.PathRead, http.StatusOK, "")
	late.ended = begun.Add(deadline + 2*answerSlack)
	r := scene(t, late)
	checkBroken(t, r.checkTimes(), 1)
	r.system.hosts[0].disturbed.list = []span{{from: begun, to: begun.Add(time.Second)}}
	if v := r.checkTimes(); v.Checked != 0 {
		t.Errorf("a call to a host with a fault was judged: %+v", v)
	}
}

func TestTooFullWindowsAreFound(t *testing.T) {
	r := scene(t)
	bound := int((platformtest.LimitedPerSecond*quotaWindow.Seconds()+platformtest.LimitedBurst)*(1+quotaOverage) + quotaAllowance)
	runs := make(map[string][]time.Time)
	c := newCall("a", platformtest.PathLimited, http.StatusOK, "")
	c.small = true
	r.callers.calls = []*call{c}
	for i := range bound + 1 {
		runs["a"] = append(runs["a"], begun.Add(time.Duration(i)*time.Millisecond))
	}
	checkBroken(t, r.checkQuota(runs), 1)
}

func TestOlderConfigurationsAreFound(t *testing.T) {
	known := newCall("a", platformtest.VersionPath(3), http.StatusOK, "")
	known.version = 3
	unknown := newCall("b", platformtest.VersionPath(3), http.StatusNotFound, "")
	unknown.version = 3
	r := scene(t, known, unknown)
	unknown.begun = begun.Add(time.Second)
	unknown.ended = begun.Add(2 * time.Second)
	checkBroken(t, r.checkVersions(), 1)
	unknown.life = 1
	checkBroken(t, r.checkVersions(), 0)
}

func TestCallsCutByAPlannedStopAreFound(t *testing.T) {
	cut := newCall("a", platformtest.PathRead, 0, "")
	cut.reply.Err = context.Canceled
	r := scene(t, cut)
	r.system.hosts[0].stops = []time.Time{begun.Add(time.Microsecond)}
	checkBroken(t, r.checkStops(), 1)
}

func TestRequestsToLeavingTargetsAreFound(t *testing.T) {
	r := scene(t)
	r.reach(t, "a", 1)
	at := r.system.targets[0].replica.Requests()[0].At
	r.system.targets[0].departures = [][2]time.Time{{at.Add(-applyTime - time.Second), at.Add(time.Second)}}
	checkBroken(t, r.checkLeaving(), 1)
}
