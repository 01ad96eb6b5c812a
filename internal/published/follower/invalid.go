package follower

import (
	"time"

	"crocuswing/internal/published/change"

	"go.uber.org/zap"
)

const (
	// invalidLogInterval is the minimum time between two log lines about invalid items.
	invalidLogInterval = 10 * time.Second
	// maxNamedItems is the number of invalid items that a log line names, and maxLoggedBytes the length of each name and of the error.
	maxNamedItems  = 5
	maxLoggedBytes = 200
	// maxKnownItems is the number of invalid items that are remembered as logged. Beyond it, items are counted without being named.
	maxKnownItems = 1024
)

// invalidItems collects the items that cannot be decoded, for a log line now and then. Their writer may repeat them all the time, so
// that each is named once.
type invalidItems struct {
	known    map[string]bool
	names    []string // first items that are not logged yet
	err      error    // of the first of them
	count    int      // rejections since the last log line
	loggedAt time.Time
}

func (i *invalidItems) add(c change.Change) {
	i.count++
	if i.known[c.Key] || len(i.known) >= maxKnownItems {
		return
	}
	if i.known == nil {
		i.known = make(map[string]bool)
	}
	i.known[c.Key] = true
	if i.err == nil {
		i.err = c.Err
	}
	if len(i.names) < maxNamedItems {
		i.names = append(i.names, truncate(c.Key))
	}
}

// log writes one line if there are items that were not logged yet.
func (i *invalidItems) log(log *zap.Logger, now time.Time) {
	if len(i.names) == 0 || (!i.loggedAt.IsZero() && now.Sub(i.loggedAt) < invalidLogInterval) {
		return
	}
	log.Warn("published items are invalid and ignored", zap.Int("rejections", i.count), zap.Strings("items", i.names),
		zap.String("first-error", truncate(i.err.Error())))
	i.names, i.err, i.count, i.loggedAt = nil, nil, 0, now
}

func truncate(text string) string { return text[:min(len(text), maxLoggedBytes)] }
