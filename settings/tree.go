package settings

import (
	"maps"
	"slices"

	"github.com/cornelyard/cornelyard/finding"
	"github.com/cornelyard/cornelyard/ident"
)

// Tree is an immutable set of documents. A tree derived from another one shares the
// unchanged entries with it.
type Tree struct {
	entries map[string]*treeEntry
}

// ParseTree parses the documents and returns the tree with all its findings.
func ParseTree(documents []Document) (*Tree, finding.List) {
	tree := newTree(documents, 0)
	return tree, checkTree(tree, tree)
}

func newTree(documents []Document, version uint64) *Tree {
	tree := &Tree{entries: make(map[string]*treeEntry, len(documents))}
	for _, d := range documents {
		tree.entries[d.Path] = newTreeEntry(d, version)
	}
	return tree
}

// Len returns the number of documents.
func (t *Tree) Len() int { return len(t.entries) }

// Document returns the document at path.
func (t *Tree) Document(path string) (Document, bool) {
	e, ok := t.entries[path]
	if !ok {
		return Document{}, false
	}
	return e.Document, true
}

// Documents returns all documents, sorted by path.
func (t *Tree) Documents() []Document {
	documents := make([]Document, 0, len(t.entries))
	for _, path := range t.paths() {
		documents = append(documents, t.entries[path].Document)
	}
	return documents
}

func (t *Tree) paths() []string {
	return slices.Sorted(maps.Keys(t.entries))
}

// withEdits returns the tree after the edits, which version made.
func (t *Tree) withEdits(edits []Edit, version uint64) *Tree {
	result := &Tree{entries: maps.Clone(t.entries)}
	for _, edit := range edits {
		if edit.Removes() {
			delete(result.entries, edit.Path)
			continue
		}
		result.addEntry(t, Document{Path: edit.Path, Body: edit.After}, version)
	}
	return result
}

// addEntry adds the document's entry, reusing that of known if the body and the
// version are the same.
func (t *Tree) addEntry(known *Tree, d Document, version uint64) {
	e, ok := known.entries[d.Path]
	if !ok || e.Body != d.Body || e.version != version {
		e = newTreeEntry(d, version)
	}
	t.entries[d.Path] = e
}

// Diff returns the edits that turn t into a tree of exactly the documents, sorted by
// path.
func (t *Tree) Diff(documents []Document) []Edit {
	edits := t.putEdits(documents)
	wanted := make(map[string]bool, len(documents))
	for _, d := range documents {
		wanted[d.Path] = true
	}
	for path, e := range t.entries {
		if !wanted[path] {
			edits = append(edits, Edit{Path: path, Before: e.Body})
		}
	}
	sortEdits(edits)
	return edits
}

// putEdits returns an edit for each document that is new or differs from the tree's.
func (t *Tree) putEdits(documents []Document) []Edit {
	var edits []Edit
	for _, d := range documents {
		known, _ := t.Document(d.Path)
		if known.Body != d.Body {
			edits = append(edits, Edit{Path: d.Path, Before: known.Body, After: d.Body})
		}
	}
	return edits
}

// revert returns the tree from before the records, the last of which led to t.
func (t *Tree) revert(records []Record) *Tree {
	for _, record := range slices.Backward(records) {
		t = t.withEdits(record.inverseEdits(), 0)
	}
	return t
}

// snapshot indexes the usable declarations.
func (t *Tree) snapshot(version uint64) *Snapshot {
	s := newSnapshot(version, len(t.entries))
	for _, e := range t.entries {
		if e.usable() {
			s.add(e)
		}
	}
	s.index()
	return s
}

// poolSizes counts the targets of each pool.
func (t *Tree) poolSizes() map[ident.Pool]int {
	sizes := make(map[ident.Pool]int)
	for _, e := range t.entries {
		if e.target != nil {
			sizes[e.target.Pool]++
		}
	}
	return sizes
}
