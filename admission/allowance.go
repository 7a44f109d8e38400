package admission

// Rebalance moves allowances of limited organisations between entries, towards
// their demand. Each entry begins with an equal part of a limit, so that a
// burst that comes before any report stays within it. An entry lowers its own
// allowance at once, as far as its requests in progress permit, and raises it
// only by what the others' reports show to be given up, in proportion to what
// each lacks, so that all raises together fit.
//
// Call it once for each complete round of reports that were all made after the
// last call; entries is the number of all entries, this one included. Without a
// complete round, do not call it: allowances then stay as they are.
func (c *Controller) Rebalance(entries int) {
	for name, limit := range c.cfg.Limits {
		if limit.MaxInFlight > 0 {
			c.rebalance(name, float64(limit.MaxInFlight), entries)
		}
	}
}

// position is what an entry holds of a limit and what it should hold.
type position struct {
	held, used, target float64
}

func (c *Controller) rebalance(name string, limit float64, entries int) {
	equal := limit / float64(max(1, entries))
	own := position{held: c.allowance(name), used: float64(c.usage(name).InFlight)}
	held, gaps := own.held, 0.0
	targets := c.targets(name, limit, equal)
	own.target = targets[c.cfg.Entry]
	for entry, report := range c.peers {
		usage, reported := report[name]
		if !reported {
			usage.Allowance = equal
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

// targets divides a limit by demand: everyone gets what it asks for while the
// limit suffices, and the rest is divided equally.
func (c *Controller) targets(name string, limit, equal float64) map[string]float64 {
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

// allowance is this entry's part of an organisation's own limit.
func (c *Controller) allowance(name string) float64 {
	limit := c.cfg.Limits[name].MaxInFlight
	if held, known := c.allowances[name]; known {
		return held
	}
	return float64(limit) / float64(max(1, c.cfg.Entries))
}
