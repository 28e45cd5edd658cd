package policy

// Times are quantiles in milliseconds.
type Times struct {
	// The finish times include complete responses only.
	FinishP50Ms     float64 `json:"finishP50Ms"`
	FinishP99Ms     float64 `json:"finishP99Ms"`
	FirstTokenP50Ms float64 `json:"firstTokenP50Ms"`
	FirstTokenP99Ms float64 `json:"firstTokenP99Ms"`
	GapP50Ms        float64 `json:"gapP50Ms"`
	GapP99Ms        float64 `json:"gapP99Ms"`
}
