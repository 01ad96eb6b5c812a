// Package coverage tells how much of a snapshot an answer holds.
package coverage

// Coverage counts the shards of one snapshot.
type Coverage struct {
	Answered int      `json:"answered"`
	Total    int      `json:"total"`
	Missing  []string `json:"missing"`
}

// Share is the answered part, 0 to 1.
func (c Coverage) Share() float64 {
	if c.Total == 0 {
		return 0
	}
	return float64(c.Answered) / float64(c.Total)
}
