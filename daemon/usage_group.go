package daemon

import "github.com/cornelyard/cornelyard/ident"

// usageGroup holds the tags by which the metrics are grouped.
type usageGroup struct {
	tier ident.Tier
	pool ident.Pool
}
