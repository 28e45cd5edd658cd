package bytebudget

// Urgency orders reservations; smaller values are more urgent.
type Urgency int64

// LeastUrgent comes after all others.
const LeastUrgent Urgency = 1<<63 - 1
