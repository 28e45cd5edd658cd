package testbed

// Standin is the process of a stand-in.
type Standin struct {
	*Process
	// Address is the address of its service listener, not through the fault proxy.
	Address string
	control controlClient
}
