package schedule

import "time"

// maxTargetPrefixes bounds the beginnings of prompts that are recorded for one target. The least
// recently used one is forgotten for a new one, so that its prompt is expected to be processed
// again. An entry takes about 80 bytes with its part of the map: 90 targets take 7.4 MB at most.
const maxTargetPrefixes = 1024

// targetPrefixes estimates which beginnings of prompts a target has cached. Like the target, it
// evicts those that were least recently used. The zero value is empty.
type targetPrefixes struct {
	indexes map[uint64]int32
	// entries holds a ring in the order of use; the first entry is its head. free is the list of
	// unused entries, linked by next.
	entries []prefixEntry
	free    int32
	// tokens is the memory that the entries take.
	tokens int
	trust  cacheTrust
	// memo is the last result of predictedCached.
	memo prefixMemo
}

type prefixEntry struct {
	hash uint64
	// usedAt is when the target last got a prompt that begins so, and announcedAt when this host
	// last told the others.
	usedAt      int64
	announcedAt int64
	tokens      int32
	previous    int32
	next        int32
}

// prefixMemo is the number of tokens that a target is predicted to have cached of one prompt.
type prefixMemo struct {
	request *Request
	at      time.Time
	tokens  int
}

// cached returns the tokens of the longest beginning of the prompt that is recorded with all shorter
// ones.
func (x *targetPrefixes) cached(prefixes []promptPrefix) int {
	tokens := 0
	for i := range prefixes {
		if _, known := x.indexes[prefixes[i].hash]; !known {
			break
		}
		tokens += prefixes[i].tokens
	}
	return tokens
}

// use records that the target has got a prompt with the beginning, and returns its entry.
func (x *targetPrefixes) use(now time.Time, hash uint64, tokens int) *prefixEntry {
	x.memo = prefixMemo{}
	i, known := x.indexes[hash]
	if known {
		x.unlink(i)
		x.tokens -= int(x.entries[i].tokens)
	} else {
		i = x.allocate()
		x.indexes[hash] = i
		x.entries[i] = prefixEntry{hash: hash}
	}
	e := &x.entries[i]
	e.usedAt, e.tokens = now.UnixMilli(), int32(tokens)
	x.tokens += tokens
	x.linkNewest(i)
	return e
}

// allocate returns an unused entry.
func (x *targetPrefixes) allocate() int32 {
	if x.indexes == nil {
		x.indexes = make(map[uint64]int32)
		x.entries = make([]prefixEntry, 1, 16)
	}
	if len(x.indexes) >= maxTargetPrefixes {
		x.remove(x.entries[0].next)
	}
	if i := x.free; i != 0 {
		x.free = x.entries[i].next
		return i
	}
	x.entries = append(x.entries, prefixEntry{})
	return int32(len(x.entries) - 1)
}

// evict removes the least recently used entries until the rest takes at most limit tokens, and
// returns the tokens of those removed.
func (x *targetPrefixes) evict(limit int) (evicted int) {
	for x.tokens > limit && len(x.indexes) > 0 {
		oldest := x.entries[0].next
		evicted += int(x.entries[oldest].tokens)
		x.remove(oldest)
	}
	return evicted
}

func (x *targetPrefixes) remove(i int32) {
	x.memo = prefixMemo{}
	x.unlink(i)
	x.tokens -= int(x.entries[i].tokens)
	delete(x.indexes, x.entries[i].hash)
	x.entries[i].next = x.free
	x.free = i
}

func (x *targetPrefixes) unlink(i int32) {
	e := &x.entries[i]
	x.entries[e.previous].next, x.entries[e.next].previous = e.next, e.previous
}

// linkNewest links an entry before the head, which is the end of the ring.
func (x *targetPrefixes) linkNewest(i int32) {
	newest := x.entries[0].previous
	x.entries[i].previous, x.entries[i].next = newest, 0
	x.entries[newest].next, x.entries[0].previous = i, i
}
