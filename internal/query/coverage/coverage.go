// Package coverage describes which shards of a snapshot an answer includes.
package coverage

// Coverage counts the shards that an answer includes and names the missing ones.
type Coverage struct {
	Answered int      `json:"answered"`
	Total    int      `json:"total"`
	Missing  []string `json:"missing"`
}

// Share returns the fraction of the shards that the answer includes, 0 to 1. It is 0 if there are no shards.
func (c Coverage) Share() float64 {
	if c.Total == 0 {
		return 0
	}
	return float64(c.Answered) / float64(c.Total)
}
