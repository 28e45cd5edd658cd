package loadmodel

import (
	"strconv"
	"time"

	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/schedule"
)

// request is one attempt of a caller.
type request struct {
	id ident.Request
	// sequence is the number of the attempt among all.
	sequence int
	class    *RequestClass
	host     int
	// submitted is the time of the first attempt, arrived that of this one.
	submitted time.Duration
	arrived   time.Duration
	retry     bool
	// content identifies the request over its attempts, and reserved says that capacity was
	// reserved for its retry.
	content  uint64
	reserved bool
	// atOnce is the number of retries that the caller sends without regard to Retry-After.
	atOnce int
	prompt int
	output int
	// estimatedOutput is the caller's estimate of output.
	estimatedOutput int

	// blocks are the blocks of the prompt, and session what they belong to, if to anything.
	blocks  []schedule.PromptBlock
	session *session
	// predicted is the number of prompt tokens that the host predicted to be cached, and
	// prefilling says that the engine has looked up the prompt.
	predicted  int
	prefilling bool
	pinned     []*cachedBlock
	// private is the memory that the request does not share, in tokens.
	private     float64
	prefillLeft float64
	tokensLeft  float64
	// newTokens is the number of tokens that the last step has produced.
	newTokens  int
	firstEvent time.Duration
	// lastEvent is the time of the latest event.
	lastEvent time.Duration
	engine    *engine
}

// abandonTime returns when the caller abandons the request if no further event arrives.
func (r *request) abandonTime() time.Duration {
	return min(r.submitted+r.class.Deadline, max(r.arrived, r.lastEvent)+eventTimeout)
}

// eventTimeout is how long callers wait for the next event.
const eventTimeout = 2 * time.Second

func (r *request) hostName() ident.Host { return ident.Host(strconv.Itoa(r.host)) }
