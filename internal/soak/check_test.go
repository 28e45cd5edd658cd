package soak

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/cornelyard/cornelyard/internal/testbed"
	"github.com/cornelyard/cornelyard/internal/verdict"
	"github.com/cornelyard/cornelyard/platform/platformtest"
)

var baseTime = time.Unix(1_000_000, 0)

// newTestRunner returns a runner with one host, one target and the given calls.
func newTestRunner(t *testing.T, calls ...*call) *runner {
	t.Helper()
	h := &host{Process: &testbed.Process{Name: "h-0"}}
	fake := platformtest.NewTarget("t-0")
	t.Cleanup(fake.Close)
	s := &system{hosts: []*host{h}, targets: []*target{{name: "t-0", fake: fake}}}
	for _, c := range calls {
		c.host, c.started = h, baseTime
		if c.finished.IsZero() {
			c.finished = baseTime.Add(time.Millisecond)
		}
	}
	return &runner{system: s, callers: &callers{system: s, calls: calls}, injector: &injector{system: s}}
}

// sendToTarget sends a request to the runner's target the given number of times.
func (r *runner) sendToTarget(t *testing.T, id string, times int) {
	t.Helper()
	for range times {
		if reply := sendTo(r.system.targets[0], id); !reply.Succeeded() {
			t.Fatalf("stand-in target replied %+v", reply)
		}
	}
}

// sendTo sends a request to a target once.
func sendTo(to *target, id string) platformtest.Reply {
	caller := platformtest.NewCaller(to.fake.Address(), platformtest.Key)
	defer caller.Close()
	return caller.Do(context.Background(), platformtest.Request{ID: id, Method: http.MethodPost, Path: "/", Deadline: time.Second})
}

func newCall(id, path string, status int, body string) *call {
	return &call{
		request: platformtest.Request{ID: id, Path: path},
		reply:   platformtest.Reply{Status: status, Body: body, Signed: true},
	}
}

func checkViolations(t *testing.T, v verdict.Verdict, want int) {
	t.Helper()
	if v.Violations != want || v.Checked == 0 {
		t.Errorf("%s: %d of %d checks violated, want %d: %q", v.Promise, v.Violations, v.Checked, want, v.Examples)
	}
}

func TestForeignResponsesAreDetected(t *testing.T) {
	r := newTestRunner(t,
		newCall("a", platformtest.PathRead, http.StatusOK, serviceBody("a", platformtest.PathRead)),
		newCall("b", platformtest.PathRead, http.StatusOK, serviceBody("a", platformtest.PathRead)),
		newCall("c", platformtest.PathStream, http.StatusOK, streamEvent("c", 0)),
	)
	checkViolations(t, r.checkResponses(), 2)
}

func TestRepeatedExecutionIsDetected(t *testing.T) {
	r := newTestRunner(t, newCall("a", platformtest.PathWrite, 0, ""), newCall("b", platformtest.PathWrite, 0, ""))
	r.sendToTarget(t, "a", 2)
	r.sendToTarget(t, "b", 1)
	checkViolations(t, r.checkNonIdempotent(r.system.receivedTimes()), 1)
}

func TestExecutedRefusedRequestsAreDetected(t *testing.T) {
	r := newTestRunner(t,
		newCall("a", platformtest.PathRead, http.StatusServiceUnavailable, ""),
		newCall("b", platformtest.PathRead, http.StatusTooManyRequests, ""),
	)
	r.sendToTarget(t, "b", 1)
	checkViolations(t, r.checkRefusals(r.system.receivedTimes()), 1)
}

func TestLateResponsesAreDetectedOnHostsWithoutFault(t *testing.T) {
	late := newCall("a", platformtest.PathRead, http.StatusOK, "")
	late.finished = baseTime.Add(deadline + 2*deadlineSlack)
	r := newTestRunner(t, late)
	checkViolations(t, r.checkDeadlines(), 1)
	r.system.hosts[0].faultSpans.list = []span{{from: baseTime, to: baseTime.Add(time.Second)}}
	if v := r.checkDeadlines(); v.Checked != 0 {
		t.Errorf("a call to a host with a fault was checked: %+v", v)
	}
}

func TestExceededQuotaWindowsAreDetected(t *testing.T) {
	r := newTestRunner(t)
	bound := int((platformtest.LimitedPerSecond*quotaWindow.Seconds()+platformtest.LimitedBurst)*(1+quotaOverage) + quotaAllowance)
	runs := make(map[string][]time.Time)
	c := newCall("a", platformtest.PathLimited, http.StatusOK, "")
	c.limited = true
	r.callers.calls = []*call{c}
	for i := range bound + 1 {
		runs["a"] = append(runs["a"], baseTime.Add(time.Duration(i)*time.Millisecond))
	}
	checkViolations(t, r.checkQuota(runs), 1)
}

func TestConfigurationRollbackIsDetected(t *testing.T) {
	known := newCall("a", platformtest.VersionPath(3), http.StatusOK, "")
	known.version = 3
	unknown := newCall("b", platformtest.VersionPath(3), http.StatusNotFound, "")
	unknown.version = 3
	r := newTestRunner(t, known, unknown)
	unknown.started = baseTime.Add(time.Second)
	unknown.finished = baseTime.Add(2 * time.Second)
	checkViolations(t, r.checkConfigurationVersions(), 1)
	unknown.incarnation = 1
	checkViolations(t, r.checkConfigurationVersions(), 0)
}

func TestCallsInterruptedByPlannedStopAreDetected(t *testing.T) {
	cut := newCall("a", platformtest.PathRead, 0, "")
	cut.reply.Err = context.Canceled
	r := newTestRunner(t, cut)
	r.system.hosts[0].plannedStops = []time.Time{baseTime.Add(time.Microsecond)}
	checkViolations(t, r.checkGracefulShutdown(), 1)
}

func TestRequestsToLeavingTargetsAreDetected(t *testing.T) {
	r := newTestRunner(t)
	r.sendToTarget(t, "a", 1)
	at := r.system.targets[0].fake.Requests()[0].At
	r.system.targets[0].leavingPeriods = [][2]time.Time{{at.Add(-propagationTime - time.Second), at.Add(time.Second)}}
	checkViolations(t, r.checkLeavingTargets(), 1)
}

func TestLateAttemptsOfCrashingRequestAreDetected(t *testing.T) {
	r := newTestRunner(t)
	healthy := r.system.hosts[0]
	faulty := &host{Process: &testbed.Process{Name: "h-1"}}
	faulty.faultSpans.list = []span{{from: time.Now().Add(-time.Second)}}
	longAgo := time.Now().Add(-time.Minute)
	contained := &crashingRequest{hosts: map[string]*host{"a": healthy, "b": faulty}, crashes: []time.Time{longAgo, longAgo, longAgo}}
	violating := &crashingRequest{hosts: map[string]*host{"c": healthy}, crashes: contained.crashes}
	r.system.crashing.Store("contained", contained)
	r.system.crashing.Store("violating", violating)
	r.sendToTarget(t, "a", maxLateArrivals)
	r.sendToTarget(t, "b", maxLateArrivals)
	r.sendToTarget(t, "c", maxLateArrivals+1)
	checkViolations(t, r.checkCrashingRequests(), 1)
}

func TestCallsCutWithoutAFaultAreDetected(t *testing.T) {
	cut := newCall("a", platformtest.PathStream, http.StatusOK, streamEvent("a", 0))
	cut.reply.Err = io.ErrUnexpectedEOF
	failed := newCall("b", platformtest.PathRead, http.StatusBadGateway, "")
	refused := newCall("c", platformtest.PathRead, http.StatusServiceUnavailable, "")
	r := newTestRunner(t, cut, failed, refused)
	r.system.targets[0].service = platformtest.Service
	checkViolations(t, r.checkAnswered(), 2)
	r.system.targets[0].faultSpans.list = []span{{from: baseTime, to: baseTime.Add(time.Second)}}
	checkViolations(t, r.checkAnswered(), 1)
}
