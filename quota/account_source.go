package quota

// accountSource is a team's account with what is known of the team's usage at one source.
type accountSource struct {
	account *account
	usage   *sourceUsage
}
