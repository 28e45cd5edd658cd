package loadmodel

import "time"

// SharedPrompts describes prompts that begin with one of several templates.
type SharedPrompts struct {
	// Templates is the number of templates. The popularity of the nth is proportional to 1/n.
	Templates      int
	TemplateTokens int
	// Turns is the mean number of prompts of a session. Each one repeats the previous prompt and adds
	// to it. With zero, each prompt is on its own.
	Turns int
	// ThinkTime is the mean time between a response and the next prompt of the session.
	ThinkTime time.Duration
}
