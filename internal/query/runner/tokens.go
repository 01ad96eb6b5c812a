package runner

// Tokens gives what is left of the budgets for hedges and for retries, in extra attempts.
func (r *Runner) Tokens() (hedges, retries float64) { return r.hedges.Tokens(), r.retries.Tokens() }
