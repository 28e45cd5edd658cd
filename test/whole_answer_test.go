package test

import (
	"strings"
	"testing"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/chatclient"
	"github.com/cornelyard/cornelyard/internal/standin/engine"
	"github.com/cornelyard/cornelyard/internal/testbed"
	"github.com/cornelyard/cornelyard/settings"
)

// callsPerFault is the least number of calls under each fault.
const callsPerFault = 300

func responseSpec(resumes bool) testbed.Spec {
	spec := baseSpec()
	spec.Hosts = hosts("west", 2)
	for _, name := range []ident.Target{"west-e1", "west-e2"} {
		engine := testbed.EngineSpec(name, model, "west", 32, "--decode-gap=2ms", "--gap-growth=0.01")
		engine.Resumes = resumes
		spec.Targets = append(spec.Targets, engine)
	}
	spec.Tiers[1].DefaultDeadline = settings.Duration(testTimeout)
	return spec
}

// checkResponses stops the load generator and checks that each call got either the
// complete response to its own prompt or a prefix of it with an explicit error. It
// returns the number of complete responses.
func checkResponses(t *testing.T, generator *loadGenerator) int {
	t.Helper()
	generator.stopAndWait()
	succeeded := 0
	for _, r := range generator.results {
		want := chatclient.ExpectedContent(r.call.Prompt, r.call.MaxTokens)
		switch {
		case r.succeeded():
			succeeded++
		case r.response.Whole:
			t.Errorf("a wrong response was marked as complete: %v", r)
		case !strings.HasPrefix(want, r.response.Content):
			t.Errorf("the partial response does not match the prompt: %v", r)
		case r.err != nil || r.response.Err == nil:
			t.Errorf("a partial response without an explicit error: %v", r)
		}
	}
	t.Logf("%d of %d calls succeeded", succeeded, len(generator.results))
	return succeeded
}

func TestEveryCallerGetsCorrectResponse(t *testing.T) {
	tests := []struct {
		name    string
		resumes bool
		faults  engine.RequestFaults
		// allSucceed is set if every call must succeed despite the fault.
		allSucceed bool
		// match limits the fault to prompts that contain it. A target that
		// interrupts every stream gets few requests, because a target whose
		// connections fail is considered dead and probed with one request at a
		// time.
		match string
		// setDeadline sets a deadline on the calls, for responses that never end.
		setDeadline bool
	}{
		{name: "no fault", resumes: true, allSucceed: true},
		{name: "delayed responses", resumes: true, faults: engine.RequestFaults{ResponseDelayMs: 300}, allSucceed: true},
		{name: "swapped responses", resumes: true, faults: engine.RequestFaults{SwapResponses: true}},
		{name: "wrong response id", resumes: true, faults: engine.RequestFaults{WrongID: true}},
		{name: "repeated frame", resumes: true, faults: engine.RequestFaults{RepeatFrame: 3}, allSucceed: true},
		{name: "skipped frame", resumes: true, faults: engine.RequestFaults{SkipFrame: 3}},
		{name: "interrupted streams, resumable", resumes: true, faults: engine.RequestFaults{CutAfterTokens: 4}},
		{name: "interrupted streams, not resumable", faults: engine.RequestFaults{CutAfterTokens: 4}, match: "7"},
		{name: "responses that never end", resumes: true, faults: engine.RequestFaults{NeverEnd: true}, setDeadline: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			cluster := startCluster(t, responseSpec(test.resumes))
			for _, target := range cluster.Targets {
				if err := target.SetEngineFaults(engine.Faults{RequestFaults: test.faults, Match: test.match}); err != nil {
					t.Fatal(err)
				}
			}
			generator := startLoad(t, cluster, 40, func(_ int, c *chatclient.Call) {
				if test.setDeadline {
					c.Deadline = 2 * leavingLimit / 3
				}
			})
			generator.waitForCalls(t, callsPerFault)
			allSucceed := checkResponses(t, generator)
			if test.allSucceed && allSucceed < len(generator.results) {
				t.Error("some calls failed, although the fault must not affect callers")
			}
			checkNoDuplicateDispatch(t, cluster, "west-e1", "west-e2")
		})
	}
}
