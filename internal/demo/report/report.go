// Package report holds the results of a demonstration run and prints them.
package report

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// Report counts the requests of a run by result, and the violations that the checks found. Durations are in milliseconds.
type Report struct {
	Queries        int     `json:"queries"`
	FailedQueries  int     `json:"failed-queries"`
	MinCoverage    float64 `json:"min-coverage"`    // lowest share of shards that an answer contains
	FalseCoverage  int     `json:"false-coverage"`  // answers whose coverage contradicts their rows
	MixedSnapshots int     `json:"mixed-snapshots"` // answers with rows of more than one snapshot
	CrossedAnswers int     `json:"crossed-answers"` // answers that belong to another request
	Orders         int     `json:"orders"`
	DoneOrders     int     `json:"done-orders"`
	NotRunOrders   int     `json:"not-run-orders"`
	UnknownOrders  int     `json:"unknown-orders"`
	DoubledOrders  int     `json:"doubled-orders"`   // orders that ran more than once
	LostOrders     int     `json:"lost-orders"`      // orders reported as done that never ran
	FalseNotRun    int     `json:"false-not-run"`    // orders reported as not run that ran
	ColdOverload   int     `json:"cold-overload"`    // requests to a cold upstream above the limit of its contract
	WorkAfterLeave int     `json:"work-after-leave"` // requests to a draining or excluded upstream after the grace period
	OverConnected  int     `json:"over-connected"`   // connections to an upstream above the limit of its contract
	CutRequests    int     `json:"cut-requests"`     // requests that failed without a refusal
	P50MS          float64 `json:"p50-ms"`
	P99MS          float64 `json:"p99-ms"`
	// ExtraLoad is the ratio of extra attempts to first attempts.
	ExtraLoad float64 `json:"extra-load"`
	ElapsedMS int64   `json:"elapsed-ms"`
}

// Violations returns the total number of violations.
func (r Report) Violations() int {
	return r.FalseCoverage + r.MixedSnapshots + r.CrossedAnswers + r.DoubledOrders + r.LostOrders +
		r.FalseNotRun + r.ColdOverload + r.WorkAfterLeave + r.OverConnected + r.CutRequests
}

// WriteJSON writes the report as one JSON object.
func (r Report) WriteJSON(w io.Writer) error { return json.NewEncoder(w).Encode(r) }

// WriteTable writes the report as a human-readable table.
func (r Report) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	rows := []struct {
		name  string
		value any
	}{
		{"queries", r.Queries},
		{"failed queries", r.FailedQueries},
		{"lowest coverage", r.MinCoverage},
		{"false coverage", r.FalseCoverage},
		{"mixed snapshots", r.MixedSnapshots},
		{"crossed answers", r.CrossedAnswers},
		{"orders", r.Orders},
		{"orders done / not run / unknown", fmt.Sprintf("%d / %d / %d", r.DoneOrders, r.NotRunOrders, r.UnknownOrders)},
		{"doubled orders", r.DoubledOrders},
		{"lost orders", r.LostOrders},
		{"false not-run", r.FalseNotRun},
		{"cold overload", r.ColdOverload},
		{"work after leave", r.WorkAfterLeave},
		{"connections above the limit", r.OverConnected},
		{"cut requests", r.CutRequests},
		{"p50", fmt.Sprintf("%.1f ms", r.P50MS)},
		{"p99", fmt.Sprintf("%.1f ms", r.P99MS)},
		{"extra load", fmt.Sprintf("%.1f%%", 100*r.ExtraLoad)},
		{"elapsed", fmt.Sprintf("%d ms", r.ElapsedMS)},
	}
	for _, row := range rows {
		if _, err := fmt.Fprintf(table, "%s\t%v\n", row.name, row.value); err != nil {
			return err
		}
	}
	return table.Flush()
}
