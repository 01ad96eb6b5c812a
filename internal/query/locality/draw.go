package locality

// Draw returns the index in usable of the domain for a request, given a random number in [0, 1). usable lists the domains that may receive
// the request; the shares of others are divided among them in proportion. It returns false if no usable domain has a share.
func (s Shares) Draw(usable []string, random float64) (int, bool) {
	sum := 0.0
	for _, domain := range usable {
		sum += s.of(domain)
	}
	if sum <= 0 {
		return 0, false
	}
	random *= sum
	last := 0
	for i, domain := range usable {
		share := s.of(domain)
		if share <= 0 {
			continue
		}
		if random < share {
			return i, true
		}
		random -= share
		last = i
	}
	return last, true // rounding
}

func (s Shares) of(domain string) float64 {
	for i := range s.shares {
		if s.shares[i].Domain == domain {
			return s.shares[i].Share
		}
	}
	return 0
}
