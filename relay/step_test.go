package relay

import (
	"sync"
	"testing"
)

func TestStepsOfAFinishedRequestDoNotChange(t *testing.T) {
	x := &execution{}
	x.recordStep(Step{Kind: StepAccepted})
	var group sync.WaitGroup
	group.Go(func() { x.recordStep(Step{Kind: StepHedgeDenied}) })
	taken := x.takeSteps()
	count := len(taken)
	for i := range taken {
		taken[i].Cause = "read"
	}
	group.Wait()
	x.recordStep(Step{Kind: StepHedgeDenied})
	if got := len(x.takeSteps()); got != count {
		t.Errorf("the request has %d steps, want the %d that were taken", got, count)
	}
}
