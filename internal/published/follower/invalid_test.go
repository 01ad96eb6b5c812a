package follower

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"crocuswing/internal/published/change"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// TestInvalidItemsLog lets another writer repeat thousands of invalid items. Each is logged at most once, and the lines are few and
// short.
func TestInvalidItemsLog(t *testing.T) {
	core, logs := observer.New(zap.DebugLevel)
	var items invalidItems
	now := time.Now()
	const seconds, perSecond = 120, 5000
	for range seconds {
		for n := range perSecond {
			items.add(change.Change{Item: change.Item{Key: fmt.Sprint(strings.Repeat("k", 1000), n)}, Err: errors.New(strings.Repeat("e", 5000))})
		}
		items.log(zap.New(core), now)
		now = now.Add(time.Second)
	}
	require.LessOrEqual(t, logs.Len(), seconds/int(invalidLogInterval/time.Second))
	require.Positive(t, logs.Len())
	for _, line := range logs.All() {
		require.LessOrEqual(t, len(fmt.Sprint(line.ContextMap())), (maxNamedItems+2)*maxLoggedBytes)
	}
	require.LessOrEqual(t, len(items.known), maxKnownItems)
}
