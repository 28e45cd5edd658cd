package pool

import (
	"context"

	"github.com/cornelyard/cornelyard/admission"
	"github.com/cornelyard/cornelyard/settings"
)

// LoadReader fetches the load report of a target.
type LoadReader interface {
	Load(ctx context.Context, target settings.Target) (admission.LoadReport, error)
}
