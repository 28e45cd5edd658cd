package quarantine

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// Crash is the unplanned end of a target's process, as far as one host knows it.
type Crash struct {
	Target ident.Target
	// Process distinguishes the process from others of the target, by a time in Unix
	// milliseconds: when it started or, where only one host records its crash, when that
	// was detected.
	Process int64
	// At is when the crash was detected.
	At time.Time
	// Runs holds what was running on the target, one for each digest. It is empty if the
	// crash is only known because the target was probed.
	Runs []Run
	// Total is the number of runs that the reporting host knew of, if the report holds only some of
	// them, and zero otherwise.
	Total int
}

// Run is a request, or a part of its prompt, that was running on a target when it crashed.
type Run struct {
	Digest Digest
	// Part says that the digest identifies a part of a prompt.
	Part bool
	// Duration is the time from its dispatch to the crash.
	Duration time.Duration
	// Cleared says that the digest was served since, or shortly before.
	Cleared bool
	// Trial says that the request was the only one in flight with any of its suspects, on
	// any host.
	Trial bool
}
