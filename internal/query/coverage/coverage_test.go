package coverage_test

import (
	"fmt"

	"crocuswing/internal/query/coverage"
)

func ExampleCoverage_Share() {
	c := coverage.Coverage{Answered: 19, Total: 20, Missing: []string{"buyer-search-7"}}
	fmt.Println(c.Share(), coverage.Coverage{}.Share())
	// Output: 0.95 0
}
