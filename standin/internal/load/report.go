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
	Sent     int `json:"sent"`
	Answered int `json:"answered"` // whole and right
	Refused  int `json:"refused"`  // not run, after the last try
	Failed   int `json:"failed"`   // a final answer that says that it may have run
	Wrong    int `json:"wrong"`    // answered by another adapter, version or prompt
	Lost     int `json:"lost"`     // no final answer
	Doubled  int `json:"doubled"`  // answered twice, or ran twice where it may run only once
	// RanRefused counts refusals of single tries that said that the request did
	// not run, where a target ran it.
	RanRefused int `json:"ranrefused"`
	// Unran counts whole answers to requests that no target ran.
	Unran   int            `json:"unran"`
	Evicted int            `json:"evicted"` // adapters unloaded beneath a request
	Loads   int            `json:"loads"`   // adapter loads
	P50     float64        `json:"p50"`     // load stall
	P95     float64        `json:"p95"`
	P99     float64        `json:"p99"`
	Fill    float64        `json:"fill"`   // share of batch places in use
	Resent  int            `json:"resent"` // tries cut with their connection and sent again
	Issued  int            `json:"issued"` // calls that ran, as the registries counted
	First   Spread         `json:"first"`  // from the sending to the first token
	Gap     Spread         `json:"gap"`    // between tokens
	Codes   map[string]int `json:"codes"`  // error answers to all tries, by code
}

// A Spread is the percentiles of a time, in milliseconds.
type Spread struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// Good reports whether nothing happened that never may.
func (r Report) Good() bool {
	return r.Wrong == 0 && r.Lost == 0 && r.Doubled == 0 && r.Evicted == 0 && r.RanRefused == 0 && r.Unran == 0
}

// Print writes the report as a table.
func (r Report) Print(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "sent\tanswered\trefused\tfailed\twrong\tlost\tdoubled\tevicted\tranrefused\tunran\tloads\tp50\tp95\tp99\tfill\tresent\tissued\t")
	_, _ = fmt.Fprintf(table, "%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t%.0f\t%.3f\t%d\t%d\t\n",
		r.Sent, r.Answered, r.Refused, r.Failed, r.Wrong, r.Lost, r.Doubled, r.Evicted, r.RanRefused, r.Unran, r.Loads, r.P50, r.P95, r.P99, r.Fill, r.Resent, r.Issued)
	if err := table.Flush(); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(w, "first token p50 %.0f p95 %.0f p99 %.0f ms, between tokens p50 %.0f p95 %.0f p99 %.0f ms\n",
		r.First.P50, r.First.P95, r.First.P99, r.Gap.P50, r.Gap.P95, r.Gap.P99)
	for _, code := range slices.Sorted(maps.Keys(r.Codes)) {
		_, _ = fmt.Fprintf(w, "error answers to tries: %s %d\n", code, r.Codes[code])
	}
	return nil
}
