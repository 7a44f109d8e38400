package admission

// Rebalance adjusts this entry's allowances, its parts of the limits of
// organisations, to the demand at each entry. Each entry starts with an equal
// part of a limit, so that a burst before the first report stays within the
// limit. An entry lowers its own allowance at once, but not below its requests
// in flight. It raises its allowance only by what the reports show to be
// unallocated, divided among the entries in proportion to what each lacks, so
// that concurrent raises stay within the limit.
//
// Call it once for each complete round of reports that were all made after the
// previous call; entries is the number of all entries, this one included. Do
// not call it without a complete round: allowances then stay unchanged.
func (c *Controller) Rebalance(entries int) {
	for name, limit := range c.cfg.Limits {
		if limit.MaxInFlight > 0 {
			c.rebalance(name, float64(limit.MaxInFlight), entries)
		}
	}
}

// allowanceState is this entry's part of a limit: the current allowance, the requests
// in flight on it and the allowance that demand calls for.
type allowanceState struct {
	held, used, target float64
}

func (c *Controller) rebalance(name string, limit float64, entries int) {
	equalPart := limit / float64(max(1, entries))
	own := allowanceState{held: c.allowance(name), used: float64(c.usage(name).InFlight)}
	held, gaps := own.held, 0.0
	targets := c.targets(name, limit, equalPart)
	own.target = targets[c.cfg.Entry]
	for entry, report := range c.peers {
		usage, reported := report[name]
		if !reported {
			usage.Allowance = equalPart
		}
		held += usage.Allowance
		gaps += max(0, targets[entry]-usage.Allowance)
	}
	gap := max(0, own.target-own.held)
	gaps += gap
	spare := limit - held
	switch {
	case own.target < own.held:
		c.allowances[name] = max(own.target, own.used)
	case gap > 0 && spare > 0:
		c.allowances[name] = own.held + min(gap, spare*gap/gaps)
	}
}

// targets returns the allowance that each entry should have: its max-min fair
// share of the limit by demand, and an equal part of what is left.
func (c *Controller) targets(name string, limit, equalPart float64) map[string]float64 {
	demands := map[string]float64{c.cfg.Entry: float64(c.usage(name).Demand())}
	for entry, report := range c.peers {
		demands[entry] = float64(report[name].Demand())
	}
	targets := FairShares(limit, demands, func(string) float64 { return 1 })
	spare := limit
	for _, target := range targets {
		spare -= target
	}
	for entry := range targets {
		targets[entry] += spare / float64(len(targets))
	}
	return targets
}

// allowance returns this entry's part of an organisation's limit.
func (c *Controller) allowance(name string) float64 {
	limit := c.cfg.Limits[name].MaxInFlight
	if held, known := c.allowances[name]; known {
		return held
	}
	return float64(limit) / float64(max(1, c.cfg.Entries))
}
