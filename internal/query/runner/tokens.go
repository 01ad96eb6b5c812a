package runner

// Tokens returns the tokens left for hedges and for retries; one token pays for one extra attempt.
func (r *Runner) Tokens() (hedges, retries float64) {
	return r.hedgeTokens.Tokens(), r.retryTokens.Tokens()
}
