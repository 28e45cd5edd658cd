package daemon

import (
	"io"

	"github.com/cornelyard/cornelyard/config"
)

// Options configures a Daemon.
type Options struct {
	// Config holds the validated settings of the host.
	Config config.Host
	// LogOutput receives the log lines; nil means standard error.
	LogOutput io.Writer
}
