package settings

import (
	"cmp"
	"fmt"

	"github.com/cornelyard/cornelyard/internal/strictjson"
)

// uniqueIndex reports values that more than one document declares.
type uniqueIndex[K cmp.Ordered] struct {
	checker    *checker
	valueName  string
	firstEntry map[K]*treeEntry
}

func newUniqueIndex[K cmp.Ordered](c *checker, valueName string) *uniqueIndex[K] {
	return &uniqueIndex[K]{checker: c, valueName: valueName, firstEntry: make(map[K]*treeEntry)}
}

func (u *uniqueIndex[K]) add(e *treeEntry, path strictjson.Path, key K) {
	first, declared := u.firstEntry[key]
	if !declared {
		u.firstEntry[key] = e
		return
	}
	u.checker.add(e, path, fmt.Sprintf("the same %s is declared in %s", u.valueName, first.Path), "")
}

func (u *uniqueIndex[K]) addAll(e *treeEntry, list strictjson.Path, keys []K) {
	for i, key := range keys {
		u.add(e, list.Index(i), key)
	}
}
