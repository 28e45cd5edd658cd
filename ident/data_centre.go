package ident

// DataCentre names the failure domain that a host or a target belongs to.
type DataCentre string
