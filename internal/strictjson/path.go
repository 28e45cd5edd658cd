package strictjson

import "strconv"

// Path is a location inside a JSON value, such as "shares.acme" or "teams[2]".
type Path string

// Field returns the path of the named member of the object at p.
func (p Path) Field(name string) Path {
	if p == "" {
		return Path(name)
	}
	return p + "." + Path(name)
}

// Index returns the path of the element with index i of the array at p.
func (p Path) Index(i int) Path {
	return p + "[" + Path(strconv.Itoa(i)) + "]"
}
