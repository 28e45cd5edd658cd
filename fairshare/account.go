package fairshare

// account is what one host knows of a team at a rank.
type account struct {
	key Key
	// own is the load of this host and others the total that the other hosts report.
	own    Load
	others Load
	// lift raises the level of a team that was idle. It is not reported: every host derives
	// it from the same totals.
	lift float64
}

func (a *account) decay(factor float64) {
	a.own.Used *= factor
	a.others.Used *= factor
	a.lift *= factor
}

func (a *account) level() float64 { return a.own.Used + a.others.Used + a.lift }

func (a *account) queued() float64 { return a.own.Queued + a.others.Queued }
