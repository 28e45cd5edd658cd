package routing

import "container/list"

const (
	// prefixCapacity is the number of sampled blocks remembered for a target.
	prefixCapacity = 2048
	// denseDepth is the number of leading blocks that are all sampled; beyond it
	// samplesPerOctave are.
	denseDepth       = 8
	samplesPerOctave = 4
)

// PrefixIndex remembers which targets have computed which prompt prefixes
// lately. It samples the blocks of a prefix ever more thinly with depth, so that
// a long prompt costs little.
type PrefixIndex struct {
	blockTokens int
	holders     map[uint64][]*Target
	generation  uint64
}

// prefixMemory is the part of the index that belongs to one target.
type prefixMemory struct {
	recent  *list.List
	entries map[uint64]*list.Element
	// generation and tokens are the result of the last match.
	generation uint64
	tokens     int
}

// NewPrefixIndex returns an empty index of blocks of so many tokens.
func NewPrefixIndex(blockTokens int) *PrefixIndex {
	return &PrefixIndex{blockTokens: blockTokens, holders: make(map[uint64][]*Target)}
}

// Match finds the longest known prefix on each target; Cached then returns it
// until the next match.
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

// CachedTokens returns how many of so many prompt tokens the last match found on the
// target.
func (x *PrefixIndex) CachedTokens(promptTokens int, t *Target) int {
	return min(promptTokens, x.matched(t))
}

// matched returns the tokens that the last match found on the target.
func (x *PrefixIndex) matched(t *Target) int {
	if t.prefixes.generation != x.generation {
		return 0
	}
	return t.prefixes.tokens
}

// Add records that the target computes the prefix.
func (x *PrefixIndex) Add(t *Target, prefix []uint64) {
	if len(prefix) == 0 {
		return
	}
	memory := &t.prefixes
	if memory.entries == nil {
		memory.entries = make(map[uint64]*list.Element)
		memory.recent = list.New()
	}
	for depth := 1; depth <= len(prefix); depth = nextDepth(depth) {
		x.touch(t, prefix[depth-1])
	}
	// The leading blocks are forgotten last.
	for depth := min(denseDepth, len(prefix)); depth >= 1; depth-- {
		memory.recent.MoveToFront(memory.entries[prefix[depth-1]])
	}
	for memory.recent.Len() > prefixCapacity {
		x.drop(t, memory.recent.Back())
	}
}

// RemoveTarget drops all that is known of a target.
func (x *PrefixIndex) RemoveTarget(t *Target) {
	if t.prefixes.recent == nil {
		return
	}
	for element := t.prefixes.recent.Back(); element != nil; element = t.prefixes.recent.Back() {
		x.drop(t, element)
	}
}

func (x *PrefixIndex) touch(t *Target, hash uint64) {
	if element, ok := t.prefixes.entries[hash]; ok {
		t.prefixes.recent.MoveToFront(element)
		return
	}
	t.prefixes.entries[hash] = t.prefixes.recent.PushFront(hash)
	x.holders[hash] = append(x.holders[hash], t)
}

func (x *PrefixIndex) drop(t *Target, element *list.Element) {
	hash := t.prefixes.recent.Remove(element).(uint64)
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

// nextDepth returns the sampled depth after the given one.
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
