package cli

// applied is the JSON output.
type applied struct {
	Version uint64           `json:"version"`
	Changed bool             `json:"changed"`
	DryRun  bool             `json:"dryRun,omitempty"`
	Changes []documentChange `json:"changes"`
	Kept    []string         `json:"kept,omitempty"`
	Rollout *rollout         `json:"force,omitempty"`
}
