package trial

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Print writes the results as a table.
func Print(to io.Writer, results []Result) error {
	t := tabwriter.NewWriter(to, 0, 0, 1, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "policy\tw\treq/s\tserved\trefused\tlate\ttok/s\tloads\tbelady\tratio\tstall50\tstall95\tstall99\tfirst95\tfill\tfair\tothers95\tkept\tinflight\tover\tevicted\tasks\tmoved\textra\treturned\twelcome\t")
	for _, r := range results {
		fmt.Fprintf(t, "%s\t%.2f\t%.1f\t%d\t%d\t%d\t%.0f\t%d\t%d\t%.2f\t%.0f\t%.0f\t%.0f\t%.0f\t%.3f\t%.2f\t%.0f\t%.2f\t%d\t%d\t%d\t%d\t%.3f\t%d\t%d\t%d\t\n",
			r.Policy, r.Weight, r.Rate, r.Served, r.Refused, r.Late, r.Goodput, r.Loads, r.BeladyLoads, r.BeladyRatio,
			r.Stall50, r.Stall95, r.Stall99, r.First95, r.BatchFill, r.Fairness, r.OthersFirst95, r.OthersServed,
			r.MaxInflight, r.StoreRefused, r.EvictedInUse, r.GrantorMessages, r.MovedShare, r.ExtraLoads, r.Retried, r.RetriedServed)
	}
	return t.Flush()
}
