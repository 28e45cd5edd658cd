package target

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cornelyard/cornelyard/internal/httpcheck"
)

// sendGate decides, immediately before the first byte is written, whether a
// dispatch may start.
type sendGate struct {
	latch *SendLatch
	// notAfter is the time by which the dispatch must have started; zero means no
	// limit.
	notAfter time.Time
	// onSend, if not nil, is called once, after the latch is set.
	onSend  func()
	expired atomic.Bool
	// conn is the connection that is assigned to the dispatch.
	conn atomic.Pointer[gatedConn]

	headMu sync.Mutex
	// folds scans the head of the response.
	folds httpcheck.FoldScanner
}

// retire closes the assigned connection so that no later dispatch uses it.
func (g *sendGate) retire() {
	if conn := g.conn.Load(); conn != nil {
		conn.retire()
	}
}

// scanHead takes bytes that have arrived over the connection since the dispatch got it.
func (g *sendGate) scanHead(p []byte) {
	g.headMu.Lock()
	defer g.headMu.Unlock()
	g.folds.Scan(p)
}

// checkHead returns an error unless the head of the response is valid.
func (g *sendGate) checkHead(response *http.Response) error {
	g.headMu.Lock()
	defer g.headMu.Unlock()
	if g.folds.Folded() {
		return httpcheck.ErrFolded
	}
	return httpcheck.Head(response)
}

// allowWrite returns nil if bytes of the dispatch may be written.
func (g *sendGate) allowWrite() error {
	if g.latch.IsSet() {
		return nil
	}
	if !g.notAfter.IsZero() && time.Now().After(g.notAfter) {
		g.expired.Store(true)
		return errStartExpired
	}
	if !g.latch.Set() {
		return errCancelled
	}
	if g.onSend != nil {
		g.onSend()
	}
	return nil
}
