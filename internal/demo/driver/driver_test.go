package driver

import (
	"context"
	"fmt"
	"testing"

	"crocuswing/internal/demo/backend"
	"crocuswing/internal/demo/report"
	"crocuswing/internal/order/outcome"
	"crocuswing/internal/query/answer"
	"crocuswing/internal/query/coverage"
	"crocuswing/internal/standin/upstream"

	"github.com/stretchr/testify/require"
)

// fakeTarget returns a prepared answer for every search and a fixed state for every order.
type fakeTarget struct {
	answer func(id, text string) answer.Answer
	state  string
}

func (f fakeTarget) Search(_ context.Context, id, text string) (answer.Answer, error) {
	return f.answer(id, text), nil
}

func (f fakeTarget) Order(context.Context, string) (string, error) { return f.state, nil }

// correctAnswer returns a function that builds a correct answer and then applies change to it.
func correctAnswer(change func(*answer.Answer)) func(id, text string) answer.Answer {
	return func(id, text string) answer.Answer {
		a := answer.Answer{RequestID: id, Snapshot: "s1", Coverage: coverage.Coverage{Answered: 20, Total: 20}}
		for n := range 20 {
			name := fmt.Sprintf("%s-%d", backend.SearchService, n)
			for row := range upstream.RowsPerPart {
				a.Rows = append(a.Rows, upstream.Row(backend.SearchService, name, "s1", text, row))
			}
		}
		change(&a)
		return a
	}
}

func TestRunCountsViolations(t *testing.T) {
	cases := []struct {
		name   string
		change func(*answer.Answer)
		state  string
		count  func(report.Report) int
	}{
		{"correct answer", func(*answer.Answer) {}, outcome.NotRun, func(r report.Report) int { return 1 - r.Violations() }},
		{"other request", func(a *answer.Answer) { a.RequestID = "x" }, outcome.NotRun, func(r report.Report) int { return r.CrossedAnswers }},
		{"row of another query", func(a *answer.Answer) { a.Rows[0] = upstream.Row("s", "buyer-search-0", "s1", "x", 0) }, outcome.NotRun, func(r report.Report) int { return r.CrossedAnswers }},
		{"two snapshots", func(a *answer.Answer) { a.Rows[0] = upstream.Row("s", "buyer-search-0", "s2", "cotton-0", 0) }, outcome.NotRun, func(r report.Report) int { return r.MixedSnapshots }},
		{"rows are missing", func(a *answer.Answer) { a.Rows = a.Rows[2:] }, outcome.NotRun, func(r report.Report) int { return r.FalseCoverage }},
		{"half a part", func(a *answer.Answer) { a.Rows = a.Rows[1:] }, outcome.NotRun, func(r report.Report) int { return r.FalseCoverage }},
		{"total of another snapshot", func(a *answer.Answer) { a.Coverage.Total = 21 }, outcome.NotRun, func(r report.Report) int { return r.FalseCoverage }},
		{"order done that never ran", func(*answer.Answer) {}, outcome.Done, func(r report.Report) int { return r.LostOrders }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			b, err := backend.Start(1)
			require.NoError(t, err)
			defer b.Close()
			r := New(b, fakeTarget{answer: correctAnswer(tc.change), state: tc.state}).Run(t.Context(), 1, 1)
			require.Equal(t, 1, tc.count(r), "%+v", r)
		})
	}
}

func TestEvaluateOrder(t *testing.T) {
	cases := []struct {
		state string
		ran   int
		want  report.Report
	}{
		{outcome.Done, 1, report.Report{DoneOrders: 1}},
		{outcome.Done, 2, report.Report{DoneOrders: 1, DoubledOrders: 1}},
		{outcome.Unknown, 2, report.Report{UnknownOrders: 1, DoubledOrders: 1}},
		{outcome.NotRun, 1, report.Report{NotRunOrders: 1, FalseNotRun: 1}},
		{outcome.Unknown, 0, report.Report{UnknownOrders: 1}},
	}
	for _, tc := range cases {
		d := &Driver{}
		d.evaluateOrder(tc.state, tc.ran)
		require.Equal(t, tc.want, d.report, "%s after %d runs", tc.state, tc.ran)
	}
}
