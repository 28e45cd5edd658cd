package cli

// applyResult is the JSON output of the apply command.
type applyResult struct {
	Version uint64           `json:"version"`
	Changed bool             `json:"changed"`
	DryRun  bool             `json:"dryRun,omitempty"`
	Changes []documentChange `json:"changes"`
	Kept    []string         `json:"kept,omitempty"`
	Rollout *rollout         `json:"force,omitempty"`
}
