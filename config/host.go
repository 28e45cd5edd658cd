package config

import (
	"github.com/cornelyard/cornelyard/ident"
	"github.com/cornelyard/cornelyard/settings"
)

// Host is the settings file of cornelyardd. All addresses are IP:port.
type Host struct {
	// Host is this host's name, unique in the system.
	Host       ident.Host       `json:"host"`
	DataCentre ident.DataCentre `json:"dataCentre"`
	// CallerAddress, PeerAddress and OperatorAddress are listened on.
	CallerAddress   string `json:"callerAddress"`
	PeerAddress     string `json:"peerAddress"`
	OperatorAddress string `json:"operatorAddress"`
	// AdvertisedPeerAddress is what other hosts dial, if not PeerAddress.
	AdvertisedPeerAddress string `json:"advertisedPeerAddress,omitempty"`
	// Platform is the base URL of the platform's services.
	Platform string `json:"platform"`
	// Seeds are peer addresses to dial before the host list is known.
	Seeds []string `json:"seeds,omitempty"`
	// PeerKeys are 32-byte keys in hex. The first is presented to peers; all
	// are accepted, so that keys can be rotated.
	PeerKeys []string `json:"peerKeys"`
	// OperatorTokenHashes are SHA-256 hashes, in hex, of the operators' tokens.
	OperatorTokenHashes []string `json:"operatorTokenHashes"`
	Limits              Limits   `json:"limits"`
	Timing              Timing   `json:"timing"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"logLevel,omitempty"`
}

// Limits bounds what this host takes on. Zero means the default.
type Limits struct {
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int64 `json:"maxBodyBytes,omitempty"`
	// MaxRequests bounds the requests held at once.
	MaxRequests int `json:"maxRequests,omitempty"`
	// MaxConnections bounds the callers' connections.
	MaxConnections int `json:"maxConnections,omitempty"`
	// StreamBufferBytes bounds what is held for one slow caller.
	StreamBufferBytes int `json:"streamBufferBytes,omitempty"`
	// TimelineEvents is the size of the time line's ring.
	TimelineEvents int `json:"timelineEvents,omitempty"`
}

// Timing holds this host's intervals. Zero means the default.
type Timing struct {
	// Heartbeat is the interval of heartbeats.
	Heartbeat settings.Duration `json:"heartbeat,omitempty"`
	// SuspectAfter and DeadAfter are silences.
	SuspectAfter settings.Duration `json:"suspectAfter,omitempty"`
	DeadAfter    settings.Duration `json:"deadAfter,omitempty"`
	// GrantLease is how long a grant may wait for its dispatch.
	GrantLease settings.Duration `json:"grantLease,omitempty"`
	// ReadinessDelay is how long a stopping host still listens, so that the
	// balancer can notice.
	ReadinessDelay settings.Duration `json:"readinessDelay,omitempty"`
	// DrainLimit bounds a planned stop; zero waits for every stream.
	DrainLimit settings.Duration `json:"drainLimit,omitempty"`
}
