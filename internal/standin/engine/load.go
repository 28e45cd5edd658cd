package engine

// Load is a load report.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// AgeMs is the age of the report.
	AgeMs int64 `json:"ageMs"`
}
