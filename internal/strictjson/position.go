package strictjson

import "bytes"

// Position is a location in a text; lines and columns (in bytes) count from 1.
type Position struct {
	Line   int
	Column int
}

// PositionAt returns the position of a byte offset; one beyond the text is its end.
func PositionAt(data []byte, offset int) Position {
	offset = min(offset, len(data))
	before := data[:offset]
	line := bytes.Count(before, []byte{'\n'}) + 1
	column := offset - bytes.LastIndexByte(before, '\n')
	return Position{Line: line, Column: column}
}

// Locate returns the position of the value at path or, if there is none, of its
// nearest enclosing value.
func Locate(data []byte, path Path) Position {
	root, err := parse(data)
	if err != nil {
		return Position{Line: 1, Column: 1}
	}
	nearest := root
	root.walk("", func(p Path, n *node) {
		if p == path || isPrefix(p, path) {
			nearest = n
		}
	})
	return PositionAt(data, nearest.offset)
}

func isPrefix(p, path Path) bool {
	if len(p) >= len(path) || path[:len(p)] != p {
		return false
	}
	next := path[len(p)]
	return next == '.' || next == '['
}
