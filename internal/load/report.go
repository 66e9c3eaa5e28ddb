package load

import (
	"fmt"
	"html/template"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// Row is the named result of one load. A report has one line of the table and one
// chart for it.
type Row struct {
	Name   string  `json:"name"`
	Result Result  `json:"result"`
	Events []Event `json:"events,omitempty"`
}

// Event is an event during a load, which the chart marks.
type Event struct {
	At    time.Duration `json:"at_ns"` // since the start of the measured part
	Label string        `json:"label"`
}

// WriteTable writes a table with one line for each result.
func WriteTable(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "NAME\tSENT\tANSWERS\tCOMPLETE\tREFUSED\tFAILED\tCOVERAGE\tP50 ms\tP90 ms\tP99 ms\tP99.9 ms\tMAX ms\tEXTRA LOAD\t")
	for _, r := range rows {
		v := r.Result
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%.4f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.2f %%\t\n", r.Name, v.Sent, v.Answers, v.Complete,
			v.refused(), v.Failed, v.MeanCoverage, v.P50MS, v.P90MS, v.P99MS, v.P999MS, v.MaxMS, 100*v.ExtraLoad())
	}
	return t.Flush()
}

func (r Result) refused() int {
	n := 0
	for _, count := range r.Problems {
		n += count
	}
	return n
}

// Dimensions of a chart in SVG user units.
const (
	chartWidth  = 900.0
	chartHeight = 260.0
	chartMargin = 50.0
)

// chart is the data of one result's chart. The template refers to its fields by name.
type chart struct {
	Row
	Width, Height float64
	P50, P99      string // points attributes of the polylines
	Marks         []mark
	Highest       string
	Seconds       int
	Table         string
}

type mark struct {
	X     float64
	Label string
}

var page = template.Must(template.New("report").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>marigoldlever load</title>
<style>body{font-family:sans-serif;margin:2em}pre{background:#f4f4f4;padding:1em;overflow-x:auto}.p50{stroke:#3572b0}.p99{stroke:#c0392b}polyline{fill:none;stroke-width:2}.mark{stroke:#888;stroke-dasharray:4}</style>
</head><body><h1>marigoldlever load</h1><pre>{{.Table}}</pre>
{{range .Charts}}<h2>{{.Name}}</h2>
<p>Latency of answers by the second in which the query was due: <span style="color:#3572b0">p50</span> and <span style="color:#c0392b">p99</span>, 0 to {{.Highest}} ms over {{.Seconds}} s.</p>
<svg viewBox="0 0 {{.Width}} {{.Height}}" width="{{.Width}}" height="{{.Height}}" role="img">
<polyline class="p50" points="{{.P50}}"/><polyline class="p99" points="{{.P99}}"/>
{{$h := .Height}}{{range .Marks}}<line class="mark" x1="{{.X}}" x2="{{.X}}" y1="0" y2="{{$h}}"/><text x="{{.X}}" y="12" font-size="12">{{.Label}}</text>{{end}}
</svg>{{end}}</body></html>
`))

// WriteHTML writes the report as one HTML page that needs no other files.
func WriteHTML(w io.Writer, rows []Row) error {
	var table strings.Builder
	if err := WriteTable(&table, rows); err != nil {
		return err
	}
	charts := make([]chart, len(rows))
	for i, r := range rows {
		charts[i] = newChart(r)
	}
	return page.Execute(w, struct {
		Table  string
		Charts []chart
	}{table.String(), charts})
}

func newChart(r Row) chart {
	highest := 1.0
	for _, b := range r.Result.Timeline {
		highest = max(highest, b.P99MS)
	}
	seconds := max(len(r.Result.Timeline), 1)
	c := chart{Row: r, Width: chartWidth, Height: chartHeight, Highest: fmt.Sprintf("%.0f", highest), Seconds: seconds}
	x := func(second float64) float64 { return chartMargin + second*(chartWidth-2*chartMargin)/float64(seconds) }
	y := func(ms float64) float64 { return chartHeight - chartMargin/2 - ms/highest*(chartHeight-chartMargin) }
	c.P50 = points(r.Result.Timeline, x, func(b Bucket) float64 { return y(b.P50MS) })
	c.P99 = points(r.Result.Timeline, x, func(b Bucket) float64 { return y(b.P99MS) })
	for _, e := range r.Events {
		c.Marks = append(c.Marks, mark{x(e.At.Seconds()), e.Label})
	}
	return c
}

func points(timeline []Bucket, x func(float64) float64, y func(Bucket) float64) string {
	var b strings.Builder
	for _, bucket := range timeline {
		if bucket.Answers > 0 {
			fmt.Fprintf(&b, "%.1f,%.1f ", x(float64(bucket.Second)+0.5), y(bucket))
		}
	}
	return strings.TrimSpace(b.String())
}
