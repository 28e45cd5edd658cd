package peer

import (
	"github.com/uber-go/tally/v4"

	"github.com/cornelyard/cornelyard/metrics"
)

// counters holds the metrics of the mesh.
type counters struct {
	scope          tally.Scope
	sessions       tally.Gauge
	framesSent     tally.Counter
	framesReceived tally.Counter
	bytesSent      tally.Counter
	wireBytes      tally.Counter
	wireWrites     tally.Counter
	backlogsFull   tally.Counter
	framesMissing  tally.Counter
}

func newCounters(scope tally.Scope) *counters {
	return &counters{
		scope:          scope,
		sessions:       scope.Gauge(metrics.PeerSessions),
		framesSent:     scope.Counter(metrics.PeerFramesSent),
		framesReceived: scope.Counter(metrics.PeerFramesReceived),
		bytesSent:      scope.Counter(metrics.PeerBytesSent),
		wireBytes:      scope.Counter(metrics.PeerWireBytesSent),
		wireWrites:     scope.Counter(metrics.PeerWireWrites),
		backlogsFull:   scope.Counter(metrics.PeerBacklogs),
		framesMissing:  scope.Counter(metrics.PeerFramesMissing),
	}
}

// handshakeFailed counts a connection that did not become a session. The side is
// "dialled" or "accepted".
func (c *counters) handshakeFailed(side string) {
	tags := map[string]string{metrics.TagReason: side}
	c.scope.Tagged(tags).Counter(metrics.PeerHandshakesFailed).Inc(1)
}
