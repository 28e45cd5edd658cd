package usage

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// Source tells how fresh one process's part of a Summary is.
type Source struct {
	Host        ident.Host `json:"host"`
	Incarnation uint64     `json:"incarnation"`
	// At is when its last report was made. What it counted after that is not in
	// the sums, and is lost if the process is gone.
	At time.Time `json:"at"`
}
