package target

import (
	"fmt"
	"testing"
)

func TestSecondResponseToARequestOverOneConnectionIsRecognized(t *testing.T) {
	var a answeredRequests
	if first, repeated := a.add("x"); !first || repeated {
		t.Errorf("the first response counts as first %v, repeated %v", first, repeated)
	}
	if first, repeated := a.add("y"); first || repeated {
		t.Errorf("the response to another request counts as first %v, repeated %v", first, repeated)
	}
	if _, repeated := a.add("x"); !repeated {
		t.Error("the second response to the same request counts as new")
	}
	for i := range 10 * maxAnswered {
		a.add(fmt.Sprint(i))
	}
	if len(a.ids) > maxAnswered {
		t.Errorf("%d requests are remembered, want at most %d", len(a.ids), maxAnswered)
	}
}
