package hostwatch

import (
	"time"

	"github.com/phuslu/log"

	"github.com/cornelyard/cornelyard/storage"
)

// Options configures a Watcher. All fields are required.
type Options struct {
	List     storage.HostList
	Interval time.Duration
	Logger   *log.Logger
}
