package config

import (
	"cmp"
	"time"

	"github.com/cornelyard/cornelyard/settings"
)

// Defaults of the limits.
const (
	defaultMaxBodyBytes      = 8 << 20
	defaultMaxRequests       = 10_000
	defaultMaxConnections    = 20_000
	defaultStreamBufferBytes = 256 << 10
	defaultTimelineEvents    = 16_384
)

// Defaults of the intervals.
const (
	defaultHeartbeat      = settings.Duration(500 * time.Millisecond)
	defaultSuspectAfter   = settings.Duration(1250 * time.Millisecond)
	defaultDeadAfter      = settings.Duration(2 * time.Second)
	defaultGrantLease     = settings.Duration(2 * time.Second)
	defaultClaimRetention = settings.Duration(7 * 24 * time.Hour)
	defaultReadinessDelay = settings.Duration(5 * time.Second)
)

const defaultLogLevel = "info"

// WithDefaults returns the settings with unset fields replaced by their defaults.
func (h Host) WithDefaults() Host {
	h.AdvertisedPeerAddress = cmp.Or(h.AdvertisedPeerAddress, h.PeerAddress)
	h.LogLevel = cmp.Or(h.LogLevel, defaultLogLevel)
	h.Limits = h.Limits.withDefaults()
	h.Timing = h.Timing.withDefaults()
	return h
}

func (l Limits) withDefaults() Limits {
	return Limits{
		MaxBodyBytes:      cmp.Or(l.MaxBodyBytes, defaultMaxBodyBytes),
		MaxRequests:       cmp.Or(l.MaxRequests, defaultMaxRequests),
		MaxConnections:    cmp.Or(l.MaxConnections, defaultMaxConnections),
		StreamBufferBytes: cmp.Or(l.StreamBufferBytes, defaultStreamBufferBytes),
		TimelineEvents:    cmp.Or(l.TimelineEvents, defaultTimelineEvents),
	}
}

func (t Timing) withDefaults() Timing {
	return Timing{
		Heartbeat:      cmp.Or(t.Heartbeat, defaultHeartbeat),
		SuspectAfter:   cmp.Or(t.SuspectAfter, defaultSuspectAfter),
		DeadAfter:      cmp.Or(t.DeadAfter, defaultDeadAfter),
		GrantLease:     cmp.Or(t.GrantLease, defaultGrantLease),
		ReadinessDelay: cmp.Or(t.ReadinessDelay, defaultReadinessDelay),
		DrainLimit:     t.DrainLimit,
		ClaimRetention: cmp.Or(t.ClaimRetention, defaultClaimRetention),
	}
}
