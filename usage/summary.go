package usage

// Summary is the sum over all known processes, rows sorted by key.
type Summary struct {
	Rows []Row `json:"rows"`
	// Sources lists the processes whose reports are included, sorted by host.
	Sources []Source `json:"sources"`
}
