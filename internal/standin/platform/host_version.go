package platform

import (
	"time"

	"github.com/cornelyard/cornelyard/storage"
)

// hostVersion is a version of the host list and the time from which it is visible.
type hostVersion struct {
	visibleFrom time.Time
	hosts       []storage.HostEntry
}
