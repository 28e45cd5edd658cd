package platform

import "time"

// Options configures a Platform.
type Options struct {
	// HostLag is the delay until a change of the host list becomes visible.
	HostLag time.Duration
	// ReadsPerSecond and WritesPerSecond limit the call rates; calls above a limit get
	// status 429. Zero means no limit.
	ReadsPerSecond  float64
	WritesPerSecond float64
}
