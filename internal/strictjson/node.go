package strictjson

// node is a JSON value with the place where it begins.
type node struct {
	offset   int
	end      int
	kind     nodeKind
	members  []member
	elements []*node
}

// member is one name with its value.
type member struct {
	name   string
	offset int
	value  *node
}

// walk calls visit for each value below and including n, parents first.
func (n *node) walk(path Path, visit func(Path, *node)) {
	visit(path, n)
	for _, m := range n.members {
		m.value.walk(path.Field(m.name), visit)
	}
	for i, e := range n.elements {
		e.walk(path.Index(i), visit)
	}
}
