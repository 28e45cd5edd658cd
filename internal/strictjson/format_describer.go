package strictjson

// FormatDescriber is implemented by types that unmarshal themselves, to tell what JSON
// they accept.
type FormatDescriber interface {
	JSONFormat() string
}
