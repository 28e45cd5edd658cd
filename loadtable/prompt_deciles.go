package loadtable

import (
	"fmt"
	"maps"
	"slices"
)

// promptDeciles finds the deciles of the prompt sizes of all requests. It holds one entry per
// class, of which there are fewer than 500.
type promptDeciles map[promptClass]*promptSizes

// promptSizes counts the requests of one class.
type promptSizes struct {
	requests int64
	// smallest and largest are in tokens.
	smallest, largest int
}

func (d promptDeciles) add(tokens int, requests int64) {
	class := classOf(tokens)
	if class == 0 {
		return
	}
	sizes := d[class]
	if sizes == nil {
		sizes = &promptSizes{smallest: tokens}
		d[class] = sizes
	}
	sizes.requests += requests
	sizes.smallest = min(sizes.smallest, tokens)
	sizes.largest = max(sizes.largest, tokens)
}

// decileCount is the number of parts with equally many requests.
const decileCount = 10

// labels returns the decile of each class with its range of sizes in tokens, by the text of the
// class. A class belongs to the decile in which its first request lies.
func (d promptDeciles) labels() map[string]string {
	total := int64(0)
	for _, sizes := range d {
		total += sizes.requests
	}
	var ranges [decileCount]promptSizes
	decileOf := make(map[promptClass]int, len(d))
	before := int64(0)
	for _, class := range slices.Sorted(maps.Keys(d)) {
		sizes := d[class]
		decile := min(int(float64(before)/float64(total)*decileCount), decileCount-1)
		decileOf[class] = decile
		before += sizes.requests
		r := &ranges[decile]
		if r.requests == 0 {
			r.smallest = sizes.smallest
		}
		r.requests += sizes.requests
		r.largest = sizes.largest
	}
	labels := make(map[string]string, len(d))
	for class, decile := range decileOf {
		r := ranges[decile]
		labels[class.text()] = fmt.Sprintf("%02d:%d-%d", decile+1, r.smallest, r.largest)
	}
	return labels
}
