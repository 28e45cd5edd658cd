package schedule

import (
	"github.com/cornelyard/cornelyard/cell"
	"github.com/cornelyard/cornelyard/ident"
)

// minTargetsPerCell is the least number of targets in a cell. A pool that has fewer in a data
// centre is not divided there: a cell with few targets could not even out its load.
const minTargetsPerCell = 4

// SetCell sets this host's cell and the number of cells of its data centre. The host prefers
// the targets of its cell.
func (s *Scheduler) SetCell(own, cells int) {
	s.cell, s.cells = own, cells
	s.divideTargets()
}

// divideTargets finds out which targets belong to the cell of this host.
func (s *Scheduler) divideTargets() {
	for _, p := range s.pools {
		s.dividePool(p)
	}
}

func (s *Scheduler) dividePool(p *pool) {
	var names []ident.Target
	for _, t := range p.targets {
		t.otherCell = false
		if t.announced && t.DataCentre == s.dataCentre {
			names = append(names, t.Name)
		}
	}
	if s.cells == 1 || len(names) < minTargetsPerCell*s.cells {
		return
	}
	for name, c := range cell.Divide(names, s.cells) {
		s.targets[name].otherCell = c != s.cell
	}
}
