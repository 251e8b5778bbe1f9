package poison

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkSuspects measures what a request costs while nothing is suspect and while some parts are blocked.
func BenchmarkSuspects(b *testing.B) {
	for _, blocked := range []int{0, 1, 16} {
		b.Run(fmt.Sprint("blocked=", blocked), func(b *testing.B) {
			s := NewSuspects()
			for i := range blocked {
				for e := range 3 {
					s.Crashed([]string{fmt.Sprint("d", i)}, fmt.Sprint("e", e), start)
				}
			}
			parts := []string{"a", "b", "d0"}
			for b.Loop() {
				_ = s.Blocked(parts, start)
				_ = s.Answered(parts[:2], start)
			}
		})
	}
}

// BenchmarkSuspectsMemory measures the memory of as many suspects and answered parts as are kept.
func BenchmarkSuspectsMemory(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		s := NewSuspects()
		for i := range 2 * maxAnswered {
			s.Answered([]string{fmt.Sprintf("%013d", i)}, start)
		}
		for i := range maxSuspects {
			for e := range maxPartCrashes {
				s.Crashed([]string{fmt.Sprintf("s%012d", i)}, fmt.Sprintf("%08d", e), start)
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc)), "bytes")
		runtime.KeepAlive(s)
	}
}
