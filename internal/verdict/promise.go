package verdict

// Promise identifies a promise in reports.
type Promise string
