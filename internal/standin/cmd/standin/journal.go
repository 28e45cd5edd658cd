package main

import "github.com/cornelyard/cornelyard/internal/standin"

const journalHelp = "File to which the ID of each received request is appended; kept across restarts."

// openJournal opens the journal. It returns nil if path is empty.
func openJournal(path string) (*standin.Journal, error) {
	if path == "" {
		return nil, nil
	}
	return standin.OpenJournal(path)
}
