package ident

// DataCentre identifies the failure domain of a host or a target.
type DataCentre string
