package cli

import (
	"io"
	"os"
)

// stdinName names the standard input in messages.
const stdinName = "standard input"

// readLogs calls read for each file, or for the standard input if there are none.
func readLogs(s *Session, files []string, read func(name string, log io.Reader) error) error {
	if len(files) == 0 {
		return read(stdinName, s.Stdin)
	}
	for _, path := range files {
		if err := readLog(path, read); err != nil {
			return err
		}
	}
	return nil
}

func readLog(path string, read func(name string, log io.Reader) error) error {
	file, err := os.Open(path)
	if err != nil {
		return Error.Wrap(err)
	}
	// The file is only read, so an error on closing is harmless.
	defer func() { _ = file.Close() }()
	return read(path, file)
}
