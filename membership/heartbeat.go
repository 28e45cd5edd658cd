package membership

import (
	"github.com/cornelyard/cornelyard/ident"
)

// heartbeat is what a host says in a heartbeat about itself.
type heartbeat struct {
	host            ident.Host
	incarnation     uint64
	settingsVersion uint64
	leaving         bool
}
