package measure

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// WriteTable writes a table with one line for each run, and then the platform calls
// of each run by kind.
func WriteTable(w io.Writer, rows []ControlPlaneResult) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "DCs\thosts/DC\treplicas\tchanges/day\twarm\tcpu ms/s\talloc KB/s\theap KB\tgoroutines\tcalls/s\tnotes/s\tout B/s\tin B/s\tmax out\tmax in\tlinks\tin force p50 ms\tmax ms\t")
	for _, r := range rows {
		fmt.Fprintf(t, "%d\t%d\t%d\t%.0f\t%t\t%.2f\t%.0f\t%.0f\t%.1f\t%.2f\t%.2f\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f\t%.0f\t%.0f\t\n",
			r.Centres, r.Hosts, r.Replicas, r.Changes, r.Warm, r.ProcessorMS, r.AllocatedKB, r.HeapKB, r.Goroutines,
			r.CallsSent, r.NotificationsSent, r.SentBytes, r.ReceivedBytes, r.MaxSentBytes, r.MaxReceivedBytes, r.Links,
			r.InForceP50MS, r.InForceMaxMS)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, r := range rows {
		if _, err := fmt.Fprintf(w, "%d x %d, %.0f changes/day, platform calls/s: %s\n", r.Centres, r.Hosts, r.Changes, formatCallRates(r.Platform)); err != nil {
			return err
		}
	}
	return nil
}

func formatCallRates(perSecond map[string]float64) string {
	var parts []string
	for _, kind := range slices.Sorted(maps.Keys(perSecond)) {
		parts = append(parts, fmt.Sprintf("%s %.2f", kind, perSecond[kind]))
	}
	return strings.Join(parts, ", ")
}
