package answerer

// State returns what requests change on this host, for tests that compare it.
func (a *Answerer) State() []any {
	return []any{
		a.selector, a.estimate, a.budget, a.divider, a.gauge, &a.unauthorized, a.sequence.Load(), a.cutOff.Load(), a.lastEvaluation.Load(),
		&a.hosts, a.tally, a.quotas, a.suspects,
	}
}
