package settings

import "encoding/json"

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
	data, err := json.Marshal(e)
	return data, Error.Wrap(err)
}

// decodeState parses an export; it uses the entries of known again.
func decodeState(data []byte, known *state) (*state, error) {
	var e export
	if err := json.Unmarshal(data, &e); err != nil {
		return nil, Error.New("export: %w", err)
	}
	tree := newTree(nil, 0)
	for _, d := range e.Documents {
		tree.share(known.tree, d.Document, d.Version)
	}
	return &state{version: e.Version, tree: tree}, nil
}
