package schedule

import "slices"

// rankTable holds one entry for each rank of a pool, in the order of the ranks. Sums over it
// don't depend on the order of a map, so that equal inputs give equal decisions.
type rankTable[E any] struct {
	entries []rankEntry[E]
}

type rankEntry[E any] struct {
	rank  Rank
	value *E
}

func (t *rankTable[E]) search(r Rank) (index int, found bool) {
	return slices.BinarySearchFunc(t.entries, r, func(e rankEntry[E], r Rank) int { return e.rank.Compare(r) })
}

// get returns the entry of a rank, or nil.
func (t *rankTable[E]) get(r Rank) *E {
	if i, found := t.search(r); found {
		return t.entries[i].value
	}
	return nil
}

// getOrCreate returns the entry of a rank, adding an empty one if there is none.
func (t *rankTable[E]) getOrCreate(r Rank) *E {
	i, found := t.search(r)
	if !found {
		t.entries = slices.Insert(t.entries, i, rankEntry[E]{rank: r, value: new(E)})
	}
	return t.entries[i].value
}

func (t *rankTable[E]) clear() {
	clear(t.entries)
	t.entries = t.entries[:0]
}
