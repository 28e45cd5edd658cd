package settings

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
)

// maxExportBytes limits the uncompressed JSON of an export.
const maxExportBytes = 256 << 20

// export is the complete tree in the form in which hosts send it to each other.
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

// compress encodes the export as gzipped JSON, so that a large tree fits into one
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

// decodeState decodes an export. It reuses the entries of known that are unchanged.
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
