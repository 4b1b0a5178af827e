package http

import (
	"math"
	"strconv"
	"strings"
)

// parseReport parses a load report, "name=value, ..." in any order, and returns its values in the order of
// names. It uses the first valid header field and returns nil if there is none.
func parseReport(fields, names []string) []float32 {
	if len(names) == 0 {
		return nil
	}
	for _, text := range fields {
		if values := parseReportField(text, names); values != nil {
			return values
		}
	}
	return nil
}

// parseReportField parses one header field. It returns nil if a value is missing, duplicate, not a number,
// negative or infinite.
func parseReportField(text string, names []string) []float32 {
	values := make([]float32, len(names))
	found := make([]bool, len(names))
	missing := len(names)
	for part := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		for i, want := range names {
			if name != want {
				continue
			}
			v, err := strconv.ParseFloat(value, 32)
			if err != nil || !(v >= 0) || math.IsInf(v, 1) || found[i] {
				return nil
			}
			values[i] = float32(v)
			found[i] = true
			missing--
		}
	}
	if missing > 0 {
		return nil
	}
	return values
}
