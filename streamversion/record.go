package streamversion

// Record says where a stream began.
type Record struct {
	Key    Key
	Origin Origin
}
