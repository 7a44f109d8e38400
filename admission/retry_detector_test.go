package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against retries that are not recognised, which would be served before
// requests that can still be answered on time, and against first attempts that are
// classified as retries.
func TestRetryDetector(t *testing.T) {
	const least = 800 * time.Millisecond
	for _, c := range []struct {
		name     string
		timeouts []time.Duration
		left     time.Duration
		want     time.Duration
	}{
		{"first attempt", []time.Duration{6 * time.Second}, 6 * time.Second, 0},
		{"retry", []time.Duration{6 * time.Second}, 4500 * time.Millisecond, 1500 * time.Millisecond},
		{"first attempt with slightly less time", []time.Duration{6 * time.Second}, 5300 * time.Millisecond, 0},
		{"no time stated", []time.Duration{6 * time.Second}, 0, 0},
		{"more time than others", []time.Duration{6 * time.Second}, time.Minute, 0},
		{"retry of the longer of two timeouts", []time.Duration{4 * time.Second, 6 * time.Second}, 5 * time.Second, time.Second},
		{"retry of the shorter of two timeouts", []time.Duration{4 * time.Second, 6 * time.Second}, 3 * time.Second, time.Second},
		{"first attempt with the shorter of two timeouts", []time.Duration{4 * time.Second, 6 * time.Second}, 4 * time.Second, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			a := RetryDetector{MinRetryDelay: least}
			for i := range 300 {
				a.Observe(c.timeouts[i%len(c.timeouts)])
				if i%5 == 0 {
					a.Observe(2*time.Second + time.Duration(7*i)*time.Millisecond)
				}
			}
			is.Equal(a.Observe(c.left), c.want)
		})
	}
}

// Guards against requests classified as retries although initial timeouts vary, or
// before there are enough requests.
func TestRetryDetectorWithVaryingTimeouts(t *testing.T) {
	is := is.New(t)
	a := RetryDetector{MinRetryDelay: time.Second}
	for i := range 4 * countWindow {
		is.Equal(a.Observe(time.Second+time.Duration(i*7919%60_000)*time.Millisecond), time.Duration(0))
	}
	is.True(len(a.counts) <= maxTimeouts)
	few := RetryDetector{}
	few.Observe(6 * time.Second)
	is.Equal(few.Observe(3*time.Second), time.Duration(0))
}

// Guards against first attempts that count as retries forever after callers change
// their initial timeout.
func TestRetryDetectorFollowsTimeoutChange(t *testing.T) {
	is := is.New(t)
	a := RetryDetector{MinRetryDelay: 500 * time.Millisecond}
	for range countWindow {
		a.Observe(10 * time.Second)
	}
	for range 6 * countWindow {
		a.Observe(5 * time.Second)
	}
	is.Equal(a.Observe(5*time.Second), time.Duration(0))
	is.Equal(a.Observe(4*time.Second), time.Second)
}
