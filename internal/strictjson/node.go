package strictjson

// node is a JSON value with the byte range of its text.
type node struct {
	offset   int
	end      int
	kind     nodeKind
	members  []member
	elements []*node
}

// member is a member of a JSON object; offset is that of its name.
type member struct {
	name   string
	offset int
	value  *node
}

// walk calls visit for n and all values below it, in depth-first order.
func (n *node) walk(path Path, visit func(Path, *node)) {
	visit(path, n)
	for _, m := range n.members {
		m.value.walk(path.Field(m.name), visit)
	}
	for i, e := range n.elements {
		e.walk(path.Index(i), visit)
	}
}
