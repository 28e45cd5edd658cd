package strictjson

// FormatDescriber is implemented by types with their own UnmarshalJSON method, to
// describe the JSON values that they accept.
type FormatDescriber interface {
	JSONFormat() string
}
