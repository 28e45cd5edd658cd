package usage

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// Report holds everything that one process has counted since its start.
type Report struct {
	Host        ident.Host `json:"host"`
	Incarnation uint64     `json:"incarnation"`
	// At is when the report was made, by the host's clock.
	At   time.Time `json:"at"`
	Rows []Row     `json:"rows"`
}
