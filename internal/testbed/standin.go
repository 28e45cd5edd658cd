package testbed

// Standin is the process of one stand-in.
type Standin struct {
	*Process
	// Address is where it serves, without the fault proxy.
	Address string
	control controlClient
}
