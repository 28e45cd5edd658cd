package settings

import "github.com/cornelyard/cornelyard/ident"

// Target declares one back end. File: targets/<name>.json.
type Target struct {
	Name       ident.Target     `json:"-"`
	Pool       ident.Pool       `json:"pool"`
	DataCentre ident.DataCentre `json:"dataCentre"`
	// Address is IP:port.
	Address string `json:"address" jsonschema_description:"IP:port"`
	// Slots is the ceiling of requests in service at once.
	Slots int `json:"slots" jsonschema:"minimum=1,maximum=65536" jsonschema_description:"ceiling of requests in service at once"`
	// EchoesID says that the target returns the dispatch id in the
	// X-Request-Id header and, for engines, in each frame's id.
	EchoesID bool `json:"echoesID,omitempty"`
	// Resumes says that the target can continue a cut stream.
	Resumes bool `json:"resumes,omitempty"`
	// ReportsLoad says that GET /load answers with a load report.
	ReportsLoad bool `json:"reportsLoad,omitempty"`
	// Leaving takes the target out of the choice.
	Leaving bool `json:"leaving,omitempty"`
}
