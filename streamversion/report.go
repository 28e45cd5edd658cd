package streamversion

// Report is what a host reports to the others.
type Report struct {
	Records []Record
	// SoleVersions is only sent at intervals; if nil, the previous ones remain valid.
	SoleVersions []SoleVersion
}
