package settings

import (
	"cmp"
	"fmt"

	"github.com/cornelyard/cornelyard/internal/strictjson"
)

// once finds values that several documents declare.
type once[K cmp.Ordered] struct {
	checker *checker
	what    string
	first   map[K]*entry
}

func newOnce[K cmp.Ordered](c *checker, what string) *once[K] {
	return &once[K]{checker: c, what: what, first: make(map[K]*entry)}
}

func (o *once[K]) use(e *entry, path strictjson.Path, key K) {
	first, used := o.first[key]
	if !used {
		o.first[key] = e
		return
	}
	o.checker.add(e, path, fmt.Sprintf("the same %s is declared in %s", o.what, first.Path), "")
}

func (o *once[K]) useAll(e *entry, list strictjson.Path, keys []K) {
	for i, key := range keys {
		o.use(e, list.Index(i), key)
	}
}
