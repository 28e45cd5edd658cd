package usage

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// Source states how recent one process's part of a Summary is.
type Source struct {
	Host        ident.Host `json:"host"`
	Incarnation uint64     `json:"incarnation"`
	// At is when its last report was made. What the process counted after that is
	// not in the sums, and is lost if the process has ended.
	At time.Time `json:"at"`
}
