package operator

import (
	"net/http"
	"time"

	"github.com/phuslu/log"

	"github.com/cornelyard/cornelyard/logging"
	"github.com/cornelyard/cornelyard/membership"
	"github.com/cornelyard/cornelyard/peer"
	"github.com/cornelyard/cornelyard/settings"
)

const (
	// defaultCallTimeout bounds a call to one other host.
	defaultCallTimeout = 2 * time.Second
	// defaultUsageInterval is the interval between two fetches of a host's usage.
	defaultUsageInterval = 10 * time.Second
	// maxConcurrentCalls bounds the concurrent calls to other hosts per request.
	maxConcurrentCalls = 64
	// maxBodyBytes is the size limit of request bodies.
	maxBodyBytes = 32 << 20

	headerTimeout = 10 * time.Second
	readTimeout   = 60 * time.Second
	writeTimeout  = 60 * time.Second
	idleTimeout   = 2 * time.Minute
	// shutdownTimeout bounds the wait for in-flight requests on shutdown.
	shutdownTimeout = 5 * time.Second
)

// Options configures an Operator.
type Options struct {
	// Address is the IP:port to listen on.
	Address string
	// OperatorTokenHashes are the hashes of the operators' tokens.
	OperatorTokenHashes []string
	Settings            *settings.Watcher
	Store               *settings.Store
	Members             membership.Source
	Caller              peer.Caller
	Pools               PoolSource
	Timeline            TimelineSource
	Usage               UsageSource
	// Ready returns the reason why this host is not ready to serve callers, or
	// nil.
	Ready func() error
	// Metrics serves the metrics.
	Metrics http.Handler
	// CallTimeout bounds a call to one other host. It defaults to 2 seconds.
	CallTimeout time.Duration
	// UsageInterval is the interval between two fetches of the next host's usage.
	// It defaults to 10 seconds.
	UsageInterval time.Duration
	// Now is the clock for usage reports. It defaults to time.Now.
	Now func() time.Time
	// Logger may be nil.
	Logger *log.Logger
}

func (o Options) withDefaults() Options {
	if o.CallTimeout <= 0 {
		o.CallTimeout = defaultCallTimeout
	}
	if o.UsageInterval <= 0 {
		o.UsageInterval = defaultUsageInterval
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Logger == nil {
		o.Logger = logging.Discard().For("operator")
	}
	return o
}
