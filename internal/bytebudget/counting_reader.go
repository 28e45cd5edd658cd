package bytebudget

import "io"

// countingReader grows a reservation by what is read.
type countingReader struct {
	reservation *Reservation
	source      io.Reader
	read        int64
}

// Read implements io.Reader.
func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.source.Read(p)
	c.read += int64(n)
	if !c.reservation.Grow(c.read) {
		return n, ErrExhausted
	}
	return n, err
}
