package routing

import "container/list"

const (
	// prefixCapacity is the maximum number of sampled blocks stored per target.
	prefixCapacity = 2048
	// The first denseDepth blocks of a prefix are all sampled; beyond them there
	// are samplesPerOctave samples for each doubling of the depth.
	denseDepth       = 8
	samplesPerOctave = 4
)

// PrefixIndex records which targets have recently computed which prompt prefixes.
// It samples the blocks of a prefix more sparsely with depth, which limits the
// cost of a long prompt.
type PrefixIndex struct {
	blockTokens int
	holders     map[uint64][]*Target
	generation  uint64
}

// NewPrefixIndex returns an empty index; a block has blockTokens tokens.
func NewPrefixIndex(blockTokens int) *PrefixIndex {
	return &PrefixIndex{blockTokens: blockTokens, holders: make(map[uint64][]*Target)}
}

// Match finds the longest recorded prefix on each target. CachedTokens refers to
// this match until the next one.
func (x *PrefixIndex) Match(prefix []uint64) {
	x.generation++
	for depth := 1; depth <= len(prefix); depth = nextDepth(depth) {
		holders := x.holders[prefix[depth-1]]
		if len(holders) == 0 {
			return
		}
		for _, target := range holders {
			target.prefixes.generation = x.generation
			target.prefixes.tokens = depth * x.blockTokens
		}
	}
}

// CachedTokens returns how many of the prompt tokens the target has cached
// according to the last match.
func (x *PrefixIndex) CachedTokens(promptTokens int, t *Target) int {
	return min(promptTokens, x.matchedTokens(t))
}

// matchedTokens returns the length of the prefix that the last match found on the
// target.
func (x *PrefixIndex) matchedTokens(t *Target) int {
	if t.prefixes.generation != x.generation {
		return 0
	}
	return t.prefixes.tokens
}

// Add records that the target computes the prefix, and evicts the least recently
// used blocks beyond the capacity.
func (x *PrefixIndex) Add(t *Target, prefix []uint64) {
	if len(prefix) == 0 {
		return
	}
	state := &t.prefixes
	if state.entries == nil {
		state.entries = make(map[uint64]*list.Element)
		state.lru = list.New()
	}
	for depth := 1; depth <= len(prefix); depth = nextDepth(depth) {
		x.touch(t, prefix[depth-1])
	}
	// Put the leading blocks at the front so that they are evicted last.
	for depth := min(denseDepth, len(prefix)); depth >= 1; depth-- {
		state.lru.MoveToFront(state.entries[prefix[depth-1]])
	}
	for state.lru.Len() > prefixCapacity {
		x.removeEntry(t, state.lru.Back())
	}
}

// RemoveTarget deletes all records of a target.
func (x *PrefixIndex) RemoveTarget(t *Target) {
	if t.prefixes.lru == nil {
		return
	}
	for element := t.prefixes.lru.Back(); element != nil; element = t.prefixes.lru.Back() {
		x.removeEntry(t, element)
	}
}

func (x *PrefixIndex) touch(t *Target, hash uint64) {
	if element, ok := t.prefixes.entries[hash]; ok {
		t.prefixes.lru.MoveToFront(element)
		return
	}
	t.prefixes.entries[hash] = t.prefixes.lru.PushFront(hash)
	x.holders[hash] = append(x.holders[hash], t)
}

func (x *PrefixIndex) removeEntry(t *Target, element *list.Element) {
	hash := t.prefixes.lru.Remove(element).(uint64)
	delete(t.prefixes.entries, hash)
	holders := x.holders[hash]
	for i, holder := range holders {
		if holder != t {
			continue
		}
		holders[i] = holders[len(holders)-1]
		holders[len(holders)-1] = nil
		holders = holders[:len(holders)-1]
		break
	}
	if len(holders) == 0 {
		delete(x.holders, hash)
		return
	}
	x.holders[hash] = holders
}

// nextDepth returns the next sampled depth.
func nextDepth(depth int) int {
	if depth < denseDepth {
		return depth + 1
	}
	step := 1
	for octave := denseDepth; octave*2 <= depth; octave *= 2 {
		step *= 2
	}
	return depth - depth%step + step*denseDepth/samplesPerOctave
}
