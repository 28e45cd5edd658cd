package strictjson

// nodeKind is the type of a JSON value. Its text appears in messages.
type nodeKind string

const (
	objectNode nodeKind = "an object"
	arrayNode  nodeKind = "an array"
	stringNode nodeKind = "a string"
	numberNode nodeKind = "a number"
	boolNode   nodeKind = "true or false"
	nullNode   nodeKind = "null"
)
