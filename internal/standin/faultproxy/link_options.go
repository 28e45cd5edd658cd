package faultproxy

// LinkOptions configures a link.
type LinkOptions struct {
	Name string `json:"name"`
	// Listen is the address to accept connections on, as IP:port. Port 0 selects a
	// free port.
	Listen string `json:"listen"`
	// Target is the address that connections are forwarded to.
	Target string `json:"target"`
}
