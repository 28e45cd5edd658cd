package overhead

import (
	"sync/atomic"
	"time"

	"github.com/cornelyard/cornelyard/internal/chatclient"
)

// side is one of the two ways to the engine.
type side struct {
	// callers take the calls in turn.
	callers []*chatclient.Client

	firstToken *latency
	streamed   *latency
	whole      *latency
	failed     atomic.Int64
}

func newSide(callers ...*chatclient.Client) *side {
	return &side{callers: callers, firstToken: newLatency(), streamed: newLatency(), whole: newLatency()}
}

func (s *side) caller(i int) *chatclient.Client { return s.callers[i%len(s.callers)] }

func (s *side) add(stream bool, firstToken, total time.Duration) {
	if !stream {
		s.whole.add(total)
		return
	}
	s.firstToken.add(firstToken)
	s.streamed.add(total)
}
