package metrics

import (
	"cmp"
	"fmt"
	"regexp"
	"slices"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
)

// Description holds the name, help text and label names of a metric.
type Description struct {
	Name   string
	Help   string
	Labels []string
}

// descPattern matches the result of prometheus.Desc.String. The client library
// exposes the parts of a Desc in no other way.
var descPattern = regexp.MustCompile(`fqName: "([^"]*)", help: "((?:[^"\\]|\\.)*)"(?:, unit: "[^"]*")?, constLabels: {([^}]*)}, variableLabels: {([^}]*)}`)

// Describe returns the metrics of collectors sorted by name, including those
// without samples.
func Describe(collectors ...prometheus.Collector) []Description {
	var found []Description
	for _, collector := range collectors {
		descs := make(chan *prometheus.Desc)
		go func() {
			collector.Describe(descs)
			close(descs)
		}()
		for desc := range descs {
			parts := descPattern.FindStringSubmatch(desc.String())
			if parts == nil {
				continue
			}
			d := Description{Name: parts[1], Help: parts[2]}
			for label := range strings.SplitSeq(parts[3]+","+parts[4], ",") {
				if name, _, _ := strings.Cut(label, "="); name != "" {
					d.Labels = append(d.Labels, name)
				}
			}
			found = append(found, d)
		}
	}
	slices.SortFunc(found, func(a, b Description) int { return cmp.Compare(a.Name, b.Name) })
	// A metric has one Desc for each set of constant labels.
	return slices.CompactFunc(found, func(a, b Description) bool { return a.Name == b.Name })
}

// MarkdownTable formats metrics as a Markdown table.
func MarkdownTable(described []Description) string {
	var b strings.Builder
	b.WriteString("| metric | labels | meaning |\n|---|---|---|\n")
	for _, d := range described {
		fmt.Fprintf(&b, "| `%s` | %s | %s |\n", d.Name, strings.Join(d.Labels, ", "), d.Help)
	}
	return b.String()
}
