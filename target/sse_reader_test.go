package target

import (
	"errors"
	"io"
	"testing"
)

// repeatingReader repeats its unit until it has returned limit bytes.
type repeatingReader struct {
	unit  string
	limit int
	read  int
}

func (r *repeatingReader) Read(p []byte) (int, error) {
	if r.read >= r.limit {
		return 0, io.EOF
	}
	for i := range p {
		p[i] = r.unit[(r.read+i)%len(r.unit)]
	}
	r.read += len(p)
	return len(p), nil
}

// Bytes that make up no event must not hold a slot until the deadline.
func TestStreamWithoutEventsIsNotReadOn(t *testing.T) {
	const maxBytes, readLimit = 64 << 10, 8 << 20
	for name, unit := range map[string]string{
		"line":           "x",
		"data line":      "data:x",
		"empty lines":    "\n",
		"carriage lines": "\r\n",
		"comments":       ":\n\n",
		"retry fields":   "retry: 1\n\n",
		"empty data":     "data:\n\n",
		"unknown lines":  "no event\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			source := &repeatingReader{unit: unit, limit: readLimit}
			reader := newSSEReader(source, maxBytes, nil)
			var err error
			for err == nil {
				_, err = reader.next()
			}
			if !errors.Is(err, errTooLarge) || source.read >= readLimit {
				t.Errorf("read %d bytes and then got %v, want an error after %d", source.read, err, maxBytes)
			}
		})
	}
}
