package cli

import (
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/cornelyard/cornelyard/finding"
	"github.com/cornelyard/cornelyard/settings"
)

// documentDirectories are the directories at the root of a tree that may contain
// documents.
var documentDirectories = []string{"pools", "targets", "teams", "tiers"}

// tree holds the documents of a directory.
type tree struct {
	root      string
	documents []settings.Document
	findings  finding.List
}

// readTree reads all documents below root. It ignores hidden files, and files in
// root itself that aren't JSON, such as a README.
func readTree(root string) (*tree, error) {
	t := &tree{root: root}
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		relative, err := filepath.Rel(root, path)
		if err != nil || relative == "." {
			return err
		}
		return t.visit(filepath.ToSlash(relative), entry)
	})
	return t, Error.Wrap(err)
}

func (t *tree) visit(path string, entry fs.DirEntry) error {
	first, _, nested := strings.Cut(path, "/")
	switch {
	case strings.HasPrefix(entry.Name(), "."):
		if entry.IsDir() {
			return fs.SkipDir
		}
		return nil
	case entry.IsDir() && !nested && !slices.Contains(documentDirectories, first):
		t.addFinding(path, "no documents may be in this directory", strings.Join(documentDirectories, ", "))
		return fs.SkipDir
	case entry.IsDir() || (!nested && !strings.HasSuffix(path, ".json")):
		return nil
	}
	return t.read(path)
}

func (t *tree) read(path string) error {
	body, err := os.ReadFile(filepath.Join(t.root, filepath.FromSlash(path)))
	if err != nil {
		return err
	}
	if len(body) == 0 {
		t.addFinding(path, "the document is empty", "")
		return nil
	}
	t.documents = append(t.documents, settings.Document{Path: path, Body: string(body)})
	return nil
}

func (t *tree) addFinding(path, message, allowed string) {
	t.findings = append(t.findings, finding.Finding{File: t.fileName(path), Message: message, Allowed: allowed})
}

// fileName returns the name of a document's file for messages.
func (t *tree) fileName(path string) string { return filepath.Join(t.root, filepath.FromSlash(path)) }

// withFileNames returns the findings with document paths replaced by file names.
func (t *tree) withFileNames(findings finding.List) finding.List {
	renamed := slices.Clone(findings)
	for i, f := range renamed {
		if slices.ContainsFunc(t.documents, func(d settings.Document) bool { return d.Path == f.File }) {
			renamed[i].File = t.fileName(f.File)
		}
	}
	return renamed
}

// keepPrefix removes the documents whose paths do not begin with the prefix.
func (t *tree) keepPrefix(prefix string) {
	t.documents = slices.DeleteFunc(t.documents, func(d settings.Document) bool {
		return !strings.HasPrefix(d.Path, prefix)
	})
}
