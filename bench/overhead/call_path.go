package overhead

import (
	"sync/atomic"
	"time"

	"github.com/cornelyard/cornelyard/internal/chatclient"
)

// callPath is one of the two ways to call the engine: directly or through the hosts.
type callPath struct {
	// callers are used in round-robin order.
	callers []*chatclient.Client

	firstToken  *latency
	streamed    *latency
	nonStreamed *latency
	failed      atomic.Int64
}

func newCallPath(callers ...*chatclient.Client) *callPath {
	return &callPath{callers: callers, firstToken: newLatency(), streamed: newLatency(), nonStreamed: newLatency()}
}

func (s *callPath) caller(i int) *chatclient.Client { return s.callers[i%len(s.callers)] }

func (s *callPath) add(stream bool, firstToken, total time.Duration) {
	if !stream {
		s.nonStreamed.add(total)
		return
	}
	s.firstToken.add(firstToken)
	s.streamed.add(total)
}
