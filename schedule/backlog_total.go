package schedule

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// backlogTotal merges the backlogs of several hosts.
type backlogTotal struct {
	byKey map[backlogKey]*Backlog
}

// backlogKey identifies the requests that are merged into one Backlog.
type backlogKey struct {
	pool ident.Pool
	rank Rank
	late bool
}

func newBacklogTotal() *backlogTotal { return &backlogTotal{byKey: make(map[backlogKey]*Backlog)} }

// add merges the backlogs that a host reported age ago.
func (b *backlogTotal) add(list []Backlog, age time.Duration) {
	for _, backlog := range list {
		laxity := backlog.Laxity - age
		key := backlogKey{backlog.Pool, backlog.Rank, laxity < 0}
		sum := b.byKey[key]
		if sum == nil {
			sum = &Backlog{Pool: backlog.Pool, Rank: backlog.Rank}
			b.byKey[key] = sum
		}
		sum.add(backlog.Count, laxity, laxity+backlog.Spread)
	}
}

func (b *backlogTotal) list() []Backlog {
	list := make([]Backlog, 0, len(b.byKey))
	for _, sum := range b.byKey {
		list = append(list, *sum)
	}
	return list
}
