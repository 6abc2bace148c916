package judge

import (
	"fmt"
	"testing"
)

// BenchmarkReport measures the report of one entry instance about one second:
// its bytes, and the time to decode it at the leader.
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
