package usage

// Row holds the counters of one key.
type Row struct {
	Key
	Counters
}
