package configcheck

// Problem is one fault of a configuration.
type Problem struct {
	Entry   Entry
	Field   Field
	Message string
}

// Entry is an entry of a configuration: the one with this index in the list of its kind.
type Entry struct {
	Kind  Kind
	Index int
}

// Kind is a kind of entry.
type Kind int

// The kinds of entries. Whole means the configuration as a whole.
const (
	Whole Kind = iota
	Route
	Pool
	Team
)

// Field is a field of an entry; its zero value means the whole entry.
type Field int

// The fields that problems refer to.
const (
	NoField Field = iota
	Version
	HostName
	PathPrefix
	LatencyObjective
	EventGapObjective
	MaxAttempts
	Resumable
	Pools
	Keys
	Burst
	MaxConnections
	Timeout
	Engine
	Rate
	DefaultTokens
	Limits
)

// problems collects the problems of a configuration.
type problems []Problem

func (p *problems) add(kind Kind, index int, field Field, message string) {
	*p = append(*p, Problem{Entry: Entry{Kind: kind, Index: index}, Field: field, Message: message})
}
