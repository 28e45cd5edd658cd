package usage

// Row is what was counted under one key.
type Row struct {
	Key
	Counters
}
