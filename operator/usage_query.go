package operator

// usageQuery requests the usage reports of a host.
type usageQuery struct {
	// OwnOnly excludes the reports that the host has replicated from others.
	OwnOnly bool `json:"ownOnly,omitempty"`
}
