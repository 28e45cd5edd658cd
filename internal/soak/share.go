package soak

import "fmt"

// share counts how many of a number of things hold.
type share struct{ count, total int }

func (s *share) add(holds bool) {
	s.total++
	if holds {
		s.count++
	}
}

func (s *share) ratio() float64 { return float64(s.count) / float64(max(s.total, 1)) }

// String returns the share as text.
func (s *share) String() string { return fmt.Sprintf("%d of %d", s.count, s.total) }
