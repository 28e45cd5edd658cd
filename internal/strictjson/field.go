package strictjson

// field is a struct field with its JSON name.
type field struct {
	name     string
	index    int
	required bool
}
