package site

import (
	"fmt"
	"math/rand/v2"

	"crocuswing/internal/standin/workspace"
)

// KeyPrefix is the beginning of all keys that callers send.
const KeyPrefix = "soak-key-"

// quotas are the workspaces without their keys. At the usual rate of requests, callers exceed the quota of the last one.
var quotas = []workspace.Workspace{{Name: "unlimited"}, {Name: "large", Rate: 60, Burst: 60}, {Name: "small", Rate: 8, Burst: 8}}

// workspaces returns the workspaces of the newest configuration. Each has two keys, so that a change of keys leaves one in use.
func (s *Site) workspaces() []workspace.Workspace {
	all := append([]workspace.Workspace(nil), quotas...)
	for i := range all {
		all[i].Keys = []string{key(all[i].Name, s.keyGeneration), key(all[i].Name, s.keyGeneration+1)}
	}
	return all
}

func key(workspace string, generation int) string {
	return fmt.Sprintf("%s%s-%d", KeyPrefix, workspace, generation)
}

// DrawKey returns the key of a request, which may be empty, unknown or withdrawn. isEntitled reports whether the newest
// configuration holds it and has no quota for its workspace.
func (s *Site) DrawKey(r *rand.Rand) (drawn string, isEntitled bool) {
	s.mu.Lock()
	generation := s.keyGeneration
	s.mu.Unlock()
	t := quotas[[]int{0, 0, 1, 2}[r.IntN(4)]]
	switch n := r.IntN(50); {
	case n < 1:
		return "", false
	case n < 2:
		return key(t.Name+"-unknown", generation), false
	case n < 4 && generation > 0:
		return key(t.Name, r.IntN(generation)), false
	}
	return key(t.Name, generation), t.Rate == 0
}
