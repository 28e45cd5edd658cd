package pool

import (
	"sync"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/membership"
)

// fakeMembers is a membership.Source with a view that tests set.
type fakeMembers struct {
	mu      sync.Mutex
	view    *membership.View
	changed chan struct{}
}

func newFakeMembers(self ident.Host, members []membership.Member) *fakeMembers {
	f := &fakeMembers{changed: make(chan struct{})}
	f.set(self, members)
	return f
}

func (f *fakeMembers) set(self ident.Host, members []membership.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := &membership.View{Members: append([]membership.Member(nil), members...)}
	v.Self, _ = v.Member(self)
	f.view = v
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fakeMembers) View() *membership.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view
}

func (f *fakeMembers) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}
