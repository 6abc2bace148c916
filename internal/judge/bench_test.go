package judge

import (
	"fmt"
	"testing"
)

// BenchmarkReport measures the encoded size of one entry instance's report for one
// second, and the time that the leader takes to decode the report.
func BenchmarkReport(b *testing.B) {
	for _, n := range []int{4, 40, 400} {
		b.Run(fmt.Sprintf("requests=%d", n), func(b *testing.B) {
			wire, err := deploymentReport(n).Encode()
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				if _, err := Decode(wire); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(wire)), "bytes")
		})
	}
}
