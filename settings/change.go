package settings

import (
	"fmt"
	"unicode"
	"unicode/utf8"

	"github.com/cornelyard/cornelyard/finding"
)

const (
	// maxLabelBytes limits the author and the ID of a change.
	maxLabelBytes = 100
	// maxReasonBytes limits the reason of a change.
	maxReasonBytes = 1000
	// maxDocumentBytes limits the body of one document.
	maxDocumentBytes = 1 << 20
)

// changeFile is the file name in findings about the change itself rather than one of
// its documents.
const changeFile = "change"

// Change is a set of document writes and deletions that an operator or a team
// requests.
type Change struct {
	// ID identifies the change for idempotency: a change that is sent again with the
	// same ID takes effect once. The store generates an ID if it is empty.
	ID string
	// Author and Reason are recorded in the history.
	Author string
	Reason string
	// Base is the version that the change was made from. The change conflicts with any
	// later change to the same documents. Zero means the newest version at the first
	// attempt.
	Base uint64
	// Puts are the documents to write.
	Puts []Document
	// Deletes are the paths of the documents to remove.
	Deletes []string
	// Principal is the authenticated sender of the change.
	Principal Principal
}

// paths returns the paths of all documents that the change writes or removes.
func (c Change) paths() []string {
	paths := make([]string, 0, len(c.Puts)+len(c.Deletes))
	for _, d := range c.Puts {
		paths = append(paths, d.Path)
	}
	return append(paths, c.Deletes...)
}

// check returns the findings that do not depend on the documents in force.
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

// edits returns the edits that the change makes to the tree, sorted by path, and a
// finding for each document to remove that does not exist.
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
