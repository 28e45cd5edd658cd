package main

import "github.com/cornelyard/cornelyard/internal/standin"

const journalHelp = "File that gets the id of each received request, over all starts."

// openJournal opens the journal, or none if the path is empty.
func openJournal(path string) (*standin.Journal, error) {
	if path == "" {
		return nil, nil
	}
	return standin.OpenJournal(path)
}
