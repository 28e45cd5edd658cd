package relay

import "io"

// prefixedBody is a body of which a part has been read already. Reader returns that part again.
type prefixedBody struct {
	io.Reader
	io.Closer
}
