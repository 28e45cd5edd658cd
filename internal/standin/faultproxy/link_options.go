package faultproxy

// LinkOptions describes a link.
type LinkOptions struct {
	Name string `json:"name"`
	// Listen is the address to accept connections on, as IP:port; port 0 means
	// any free port.
	Listen string `json:"listen"`
	// Target is the address that connections are forwarded to.
	Target string `json:"target"`
}
