package operator

// usageQuery asks a host for its reports.
type usageQuery struct {
	// OwnOnly leaves out what the host keeps of others.
	OwnOnly bool `json:"ownOnly,omitempty"`
}
