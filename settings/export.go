package settings

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
)

// maxExportBytes bounds the JSON of an export.
const maxExportBytes = 256 << 20

// export is the whole tree as one host sends it to another.
type export struct {
	Version   uint64           `json:"version"`
	Documents []exportDocument `json:"documents"`
}

func encodeState(s *state) ([]byte, error) {
	e := export{Version: s.version, Documents: make([]exportDocument, 0, s.tree.Len())}
	for _, path := range s.tree.paths() {
		known := s.tree.entries[path]
		e.Documents = append(e.Documents, exportDocument{Document: known.Document, Version: known.version})
	}
	return compress(e)
}

// compress writes the export as gzipped JSON, so that large trees fit into one
// message between hosts.
func compress(e export) ([]byte, error) {
	var buffer bytes.Buffer
	writer := gzip.NewWriter(&buffer)
	if err := json.NewEncoder(writer).Encode(e); err != nil {
		return nil, Error.Wrap(err)
	}
	if err := writer.Close(); err != nil {
		return nil, Error.Wrap(err)
	}
	return buffer.Bytes(), nil
}

func decompress(data []byte) (export, error) {
	var e export
	reader, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return e, Error.New("export: %w", err)
	}
	if err := json.NewDecoder(io.LimitReader(reader, maxExportBytes)).Decode(&e); err != nil {
		return e, Error.New("export: %w", err)
	}
	return e, nil
}

// decodeState parses an export; it uses the entries of known again.
func decodeState(data []byte, known *state) (*state, error) {
	e, err := decompress(data)
	if err != nil {
		return nil, err
	}
	tree := newTree(nil, 0)
	for _, d := range e.Documents {
		tree.addEntry(known.tree, d.Document, d.Version)
	}
	return &state{version: e.Version, tree: tree}, nil
}
