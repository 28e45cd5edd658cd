package usage

// Summary is the sum over all known processes, rows sorted by key.
type Summary struct {
	Rows []Row `json:"rows"`
	// Sources are the processes that the sums are made of, sorted by host.
	Sources []Source `json:"sources"`
}
