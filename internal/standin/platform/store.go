package platform

import (
	"sort"
	"strings"
	"sync"

	"github.com/cornelyard/cornelyard/storage"
)

// store holds the rows and objects in memory.
type store struct {
	mu       sync.Mutex
	revision uint64
	rows     map[string]storage.Row
	objects  map[string][]byte
}

func newStore() *store {
	return &store{rows: make(map[string]storage.Row), objects: make(map[string][]byte)}
}

func (s *store) row(key string) (storage.Row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	row, ok := s.rows[key]
	return row, ok
}

func (s *store) scan(prefix, after string, limit int) []storage.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []storage.Row{}
	for key, row := range s.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, row)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	if limit > 0 && len(found) > limit {
		found = found[:limit]
	}
	return found
}

// commit applies t, or returns the rows whose checks failed.
func (s *store) commit(t storage.Transaction) (uint64, []storage.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if failed := s.failedChecks(t.Checks); len(failed) > 0 {
		return 0, failed
	}
	s.revision++
	for _, put := range t.Puts {
		s.rows[put.Key] = storage.Row{Key: put.Key, Revision: s.revision, Value: put.Value}
	}
	for _, key := range t.Deletes {
		delete(s.rows, key)
	}
	return s.revision, nil
}

func (s *store) failedChecks(checks []storage.Check) []storage.Row {
	var failed []storage.Row
	for _, check := range checks {
		row := s.rows[check.Key]
		if row.Revision != check.Revision {
			row.Key = check.Key
			failed = append(failed, row)
		}
	}
	return failed
}

func (s *store) object(name string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, ok := s.objects[name]
	return data, ok
}

func (s *store) putObject(name string, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[name] = data
}

func (s *store) deleteObject(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.objects, name)
}
