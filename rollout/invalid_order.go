package rollout

// InvalidOrder is an order that can't be followed. Its pool and version are set if they can
// be read.
type InvalidOrder struct {
	Order
	Err error
}
