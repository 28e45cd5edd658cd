package quota

import "github.com/cornelyard/cornelyard/ident"

// source identifies whose usage is reported: another host, or all hosts of another
// data centre together. Exactly one field is set.
type source struct {
	host       ident.Host
	dataCentre ident.DataCentre
}
