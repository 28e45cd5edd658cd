package loadmodel

// Outcome counts the requests of one class by their outcome.
type Outcome struct {
	Arrived int
	OnTime  int
	Late    int
	Refused int
	// LateByRefusal counts the late requests that would be on time if their objective began with
	// the attempt that was served, as hosts see it.
	LateByRefusal int
	// Abandoned counts requests whose callers gave up waiting.
	Abandoned int
	// Failed counts requests whose engine crashed.
	Failed int
	// Refusals counts the refused attempts, and EarlyRefusals those within an eighth of the
	// objective after the attempt arrived.
	Refusals      int
	EarlyRefusals int
	// Retries counts the second attempts after a refusal, and RetriesServed those of them that
	// were served.
	Retries       int
	RetriesServed int
	// Reserved counts the retries for which capacity was reserved, and ReservedServed those of
	// them that were served.
	Reserved       int
	ReservedServed int
	// BySize counts the requests by the length of their output.
	BySize [sizes]SizeOutcome
	// EarnedValue and MaxValue are in the units of RequestClass.Value.
	EarnedValue float64
	MaxValue    float64
}

// ServedRatio returns the fraction of requests that were served.
func (o Outcome) ServedRatio() float64 { return float64(o.OnTime+o.Late) / float64(max(o.Arrived, 1)) }

// OnTimeRatio returns the fraction of requests that were served within their objective.
func (o Outcome) OnTimeRatio() float64 { return float64(o.OnTime) / float64(max(o.Arrived, 1)) }
