package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// A Report is the result of a run. Times are in milliseconds.
type Report struct {
	Sent       int `json:"sent"`
	Answered   int `json:"answered"` // complete and correct
	Refused    int `json:"refused"`  // not run, after the last attempt
	Failed     int `json:"failed"`   // final answer with the verdict that the request may have run
	Mismatched int `json:"wrong"`    // answered by another adapter or version, or for another prompt
	Lost       int `json:"lost"`     // no final answer
	Duplicated int `json:"doubled"`  // answered twice, or ran twice although it may run only once
	// RefusedButRan counts attempts that were refused as not run although a
	// target ran them.
	RefusedButRan int `json:"ranrefused"`
	// AnsweredNotRun counts complete answers to requests that no target ran.
	AnsweredNotRun int            `json:"unran"`
	EvictedInUse   int            `json:"evicted"` // unloads of an adapter in use by a request
	Loads          int            `json:"loads"`   // adapter loads
	StallP50       float64        `json:"p50"`     // percentiles of the load stall
	StallP95       float64        `json:"p95"`
	StallP99       float64        `json:"p99"`
	BatchFill      float64        `json:"fill"`   // share of batch slots in use
	Resent         int            `json:"resent"` // attempts whose connection broke before the answer was complete
	Issued         int            `json:"issued"` // issuances that ran, as counted by the registries
	FirstToken     Percentiles    `json:"first"`  // time from sending to the first token
	TokenGap       Percentiles    `json:"gap"`    // time between tokens
	Codes          map[string]int `json:"codes"`  // error answers to all attempts, by code
}

// Percentiles holds percentiles of a duration, in milliseconds.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// Passed reports whether no guarantee was violated: no answer was mismatched,
// lost or duplicated, no adapter in use was unloaded and no verdict was false.
func (r Report) Passed() bool {
	return r.Mismatched == 0 && r.Lost == 0 && r.Duplicated == 0 && r.EvictedInUse == 0 && r.RefusedButRan == 0 && r.AnsweredNotRun == 0
}

// Print writes the report as a table.
func (r Report) Print(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "sent\tanswered\trefused\tfailed\twrong\tlost\tdoubled\tevicted\tranrefused\tunran\tloads\tp50\tp95\tp99\tfill\tresent\tissued\t")
	_, _ = fmt.Fprintf(table, "%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t%.0f\t%.3f\t%d\t%d\t\n",
		r.Sent, r.Answered, r.Refused, r.Failed, r.Mismatched, r.Lost, r.Duplicated, r.EvictedInUse, r.RefusedButRan, r.AnsweredNotRun, r.Loads, r.StallP50, r.StallP95, r.StallP99, r.BatchFill, r.Resent, r.Issued)
	if err := table.Flush(); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(w, "first token p50 %.0f p95 %.0f p99 %.0f ms, between tokens p50 %.0f p95 %.0f p99 %.0f ms\n",
		r.FirstToken.P50, r.FirstToken.P95, r.FirstToken.P99, r.TokenGap.P50, r.TokenGap.P95, r.TokenGap.P99)
	for _, code := range slices.Sorted(maps.Keys(r.Codes)) {
		_, _ = fmt.Fprintf(w, "error answers to tries: %s %d\n", code, r.Codes[code])
	}
	return nil
}
