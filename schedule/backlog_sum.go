package schedule

import (
	"time"

	"github.com/cornelyard/cornelyard/ident"
)

// backlogAggregate adds up the queues of several hosts.
type backlogAggregate struct {
	byKey map[backlogKey]*Backlog
}

// backlogKey says which requests are counted together.
type backlogKey struct {
	pool ident.Pool
	rank Rank
	late bool
}

func newBacklogAggregate() *backlogAggregate {
	return &backlogAggregate{byKey: make(map[backlogKey]*Backlog)}
}

// add counts in a queue that was told so long ago.
func (b *backlogAggregate) add(list []Backlog, age time.Duration) {
	for _, told := range list {
		slack := told.Slack - age
		key := backlogKey{told.Pool, told.Rank, slack < 0}
		sum := b.byKey[key]
		if sum == nil {
			sum = &Backlog{Pool: told.Pool, Rank: told.Rank}
			b.byKey[key] = sum
		}
		sum.add(told.Count, slack, slack+told.Spread)
	}
}

func (b *backlogAggregate) list() []Backlog {
	list := make([]Backlog, 0, len(b.byKey))
	for _, sum := range b.byKey {
		list = append(list, *sum)
	}
	return list
}
