package strictjson

// Form is implemented by types that unmarshal themselves, to tell what JSON
// they accept.
type Form interface {
	JSONForm() string
}
