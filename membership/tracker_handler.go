package membership

import (
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/internal/proto/peerpb"
)

// HandleFrame implements peer.Handler.
func (t *Tracker) HandleFrame(from ident.Host, f *peerpb.Frame) {
	if h := f.GetHeartbeat(); h != nil {
		t.enqueue(heartbeatInput{from: from, heartbeat: h})
	}
}

// HandleHello implements peer.HelloHandler.
func (t *Tracker) HandleHello(_ ident.Host, h *peerpb.Hello) {
	t.enqueue(helloInput{hello: h})
}

// SessionUp implements peer.Handler.
func (t *Tracker) SessionUp(host ident.Host) {
	t.enqueue(sessionUpInput{host: host})
}

// SessionDown implements peer.Handler.
func (t *Tracker) SessionDown(host ident.Host) {
	t.enqueue(sessionDownInput{host: host})
}

// DialRefused implements peer.DialObserver.
func (t *Tracker) DialRefused(host ident.Host) {
	t.enqueue(refusedInput{host: host})
}

func (t *Tracker) enqueue(in input) {
	select {
	case t.inbox <- in:
	default:
		t.dropped.Inc(1)
	}
}

func (t *Tracker) reportNewerVersion(version uint64) {
	if t.onSettingsVersion != nil && version > t.version.Load() {
		t.onSettingsVersion(version)
	}
}
