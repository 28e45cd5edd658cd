package settings

import (
	"fmt"
	"unicode"
	"unicode/utf8"

	"github.com/cornelyard/cornelyard/finding"
)

const (
	// maxLabelBytes bounds the author and the id of a change.
	maxLabelBytes = 100
	// maxReasonBytes bounds the reason of a change.
	maxReasonBytes = 1000
	// maxDocumentBytes bounds the body of one document.
	maxDocumentBytes = 1 << 20
)

// changeFile stands in findings for the change itself.
const changeFile = "change"

// Change is what an operator or a team asks for.
type Change struct {
	// ID names the change. A change that is sent again with the same ID takes
	// effect once. The store chooses one if it is empty.
	ID string
	// Author and Reason go to the history.
	Author string
	Reason string
	// Base is the version that the change was made from. The change conflicts
	// with any later one to the same documents. Zero means the version in
	// force when the store first looks.
	Base uint64
	// Puts are the documents to write.
	Puts []Document
	// Deletes are the paths of the documents to remove.
	Deletes []string
	// Principal is who sent it.
	Principal Principal
}

// paths returns the paths of all documents that the change names.
func (c Change) paths() []string {
	paths := make([]string, 0, len(c.Puts)+len(c.Deletes))
	for _, d := range c.Puts {
		paths = append(paths, d.Path)
	}
	return append(paths, c.Deletes...)
}

// check returns the findings that show without the tree.
func (c Change) check() finding.List {
	var findings finding.List
	add := func(path, message, allowed string) {
		findings = append(findings, finding.Finding{File: changeFile, Path: path, Message: message, Allowed: allowed})
	}
	if !validLabel(c.Author, maxLabelBytes) {
		add("author", "the author is missing or not allowed", "1 to 100 printable bytes")
	}
	if !validLabel(c.Reason, maxReasonBytes) {
		add("reason", "the reason is missing or not allowed", "1 to 1000 printable bytes")
	}
	if !validLabel(c.ID, maxLabelBytes) {
		add("id", "the id is not allowed", "1 to 100 printable bytes")
	}
	if len(c.Puts)+len(c.Deletes) == 0 {
		add("", "the change is empty", "")
	}
	return append(findings, c.checkDocuments()...)
}

func (c Change) checkDocuments() finding.List {
	var findings finding.List
	for _, d := range c.Puts {
		if d.Body == "" {
			findings = append(findings, finding.Finding{File: d.Path, Message: "the document is empty"})
		}
		if len(d.Body) > maxDocumentBytes {
			findings = append(findings, finding.Finding{File: d.Path, Message: "the document is too large", Allowed: fmt.Sprintf("%d bytes", maxDocumentBytes)})
		}
	}
	seen := make(map[string]bool)
	for _, path := range c.paths() {
		if seen[path] {
			findings = append(findings, finding.Finding{File: path, Message: "the change names the document twice"})
		}
		seen[path] = true
	}
	return findings
}

func validLabel(text string, limit int) bool {
	if text == "" || len(text) > limit || !utf8.ValidString(text) {
		return false
	}
	for _, r := range text {
		if !unicode.IsPrint(r) {
			return false
		}
	}
	return true
}

// edits returns what the change does to the tree, sorted by path, and a
// finding for each document that it removes in vain.
func (c Change) edits(tree *Tree) ([]Edit, finding.List) {
	edits := tree.putEdits(c.Puts)
	var findings finding.List
	for _, path := range c.Deletes {
		known, ok := tree.Document(path)
		if !ok {
			findings = append(findings, finding.Finding{File: path, Message: "there is no such document to remove"})
			continue
		}
		edits = append(edits, Edit{Path: path, Before: known.Body})
	}
	sortEdits(edits)
	return edits, findings
}
