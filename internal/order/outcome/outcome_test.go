package outcome_test

import (
	"fmt"
	"strings"
	"testing"

	"crocuswing/internal/order/outcome"

	"github.com/stretchr/testify/require"
)

func ExampleOutcome_Bounded() {
	o := outcome.Outcome{State: outcome.Done, OrderID: strings.Repeat("9", 129)}.Bounded()
	fmt.Printf("%s %q %s\n", o.State, o.OrderID, o.Reason)
	// Output: done "" the upstream's order-id is too long
}

func TestBounded(t *testing.T) {
	o := outcome.Outcome{State: outcome.Unknown, OrderID: strings.Repeat("9", 128), Reason: strings.Repeat("r", 4096)}.Bounded()
	require.Len(t, o.OrderID, 128)
	require.LessOrEqual(t, o.Size(), outcome.MaxBytes)
}
