package platform

import "time"

// Options configures a Platform.
type Options struct {
	// HostLag is how long the host list stays behind the truth.
	HostLag time.Duration
	// ReadsPerSecond and WritesPerSecond limit the calls; the rest get status
	// 429. Zero means no limit.
	ReadsPerSecond  float64
	WritesPerSecond float64
}
