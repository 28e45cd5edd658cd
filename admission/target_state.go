package admission

import (
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/settings"
)

// targetState is what the scheduler knows of one target.
type targetState struct {
	settings settings.Target
	// declared is false when the target is no longer in the settings.
	declared bool
	// refusing says that the target itself refused new work.
	refusing bool
	running  map[ident.Request]*running
}

func newTargetState(s settings.Target) *targetState {
	return &targetState{settings: s, declared: true, running: make(map[ident.Request]*running)}
}

func (t *targetState) leaving() bool {
	return !t.declared || t.settings.Leaving || t.refusing
}

// free returns the number of slots that may be granted.
func (t *targetState) free() int {
	if t.leaving() {
		return 0
	}
	return max(0, t.settings.Slots-len(t.running))
}
