package operatortest

import (
	"sync"

	"github.com/cornelyard/cornelyard/membership"
)

// members is a membership view that tests can change. It implements membership.Source.
type members struct {
	mu      sync.Mutex
	view    membership.View
	changed chan struct{}
}

// View implements membership.Source.
func (m *members) View() *membership.View {
	m.mu.Lock()
	defer m.mu.Unlock()
	view := m.view
	return &view
}

// Changed implements membership.Source.
func (m *members) Changed() <-chan struct{} { return m.changed }

func (m *members) set(all []membership.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.Members = all
	m.view.Version++
}
