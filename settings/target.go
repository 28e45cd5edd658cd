package settings

import "github.com/cornelyard/cornelyard/ident"

// Target declares a back end. File: targets/<name>.json.
type Target struct {
	Name       ident.Target     `json:"-"`
	Pool       ident.Pool       `json:"pool"`
	DataCentre ident.DataCentre `json:"dataCentre"`
	// Address has the form IP:port.
	Address string `json:"address" jsonschema_description:"IP:port"`
	// Slots is the maximum number of concurrent requests.
	Slots int `json:"slots" jsonschema:"minimum=1,maximum=65536" jsonschema_description:"ceiling of requests in service at once"`
	// EchoesID is true if the target returns the dispatch ID in the X-Request-Id
	// header and, for engines, in the ID of each frame.
	EchoesID bool `json:"echoesID,omitempty"`
	// Resumes is true if the target can resume an interrupted stream.
	Resumes bool `json:"resumes,omitempty"`
	// ReportsLoad is true if GET /load returns a load report.
	ReportsLoad bool `json:"reportsLoad,omitempty"`
	// Leaving drains the target: it is not selected for new requests.
	Leaving bool `json:"leaving,omitempty"`
}
