package lateness

import (
	"bytes"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/apex/log/handlers/logfmt"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
)

// TestRecentIsMaximumOfWindow checks that Recent returns the greatest lateness
// for as long as it lies within the window, and that the process is reported as
// late and as on time once each.
func TestRecentIsMaximumOfWindow(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	m := newMeter(metrics.NewRegistry(), &log.Logger{Handler: logfmt.New(&out), Level: log.InfoLevel}, func() {})
	m.due.Store(int64(time.Hour)) // no sample is overdue
	now := time.Unix(1000, 0)
	measure := func(lateness time.Duration, count int) {
		for range count {
			now = now.Add(sampleInterval)
			m.record(now, lateness)
		}
	}
	measure(time.Millisecond, 10)
	is.Equal(m.Recent(), time.Millisecond)
	measure(300*time.Millisecond, 1)
	measure(time.Millisecond, int(window/sampleInterval/2))
	is.Equal(m.Recent(), 300*time.Millisecond) // still within the window
	measure(time.Millisecond, int(window/sampleInterval))
	is.Equal(m.Recent(), time.Millisecond)
	is.Equal(strings.Count(out.String(), "ProcessLate "), 1)
	is.Equal(strings.Count(out.String(), "ProcessOnTime "), 1)
}

// TestMeterMeasuresUntilClosed checks that a running Meter fills its histogram
// and that Close waits for its goroutine.
func TestMeterMeasuresUntilClosed(t *testing.T) {
	is := is.New(t)
	registry := metrics.NewRegistry()
	m := Start(registry, log.Log)
	h := registry.Get(MetricLateness).(metrics.Histogram)
	for h.Count() < 3 {
		time.Sleep(time.Millisecond)
	}
	m.Close()
	count := h.Count()
	time.Sleep(3 * sampleInterval)
	is.Equal(h.Count(), count)
}

// TestWaitingGoroutinesAreMeasured guards against a process that has more work
// than time and seems to be on time because its timers fire.
func TestWaitingGoroutinesAreMeasured(t *testing.T) {
	is := is.New(t)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	m := Start(metrics.NewRegistry(), &log.Logger{Handler: discard.Default})
	defer m.Close()
	stop := make(chan struct{})
	var running sync.WaitGroup
	for range 300 {
		running.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				for end := time.Now().Add(time.Millisecond); time.Now().Before(end); {
				}
				runtime.Gosched()
			}
		})
	}
	for begun := time.Now(); !m.Late() && time.Since(begun) < 20*time.Second; {
		time.Sleep(10 * time.Millisecond)
	}
	late := m.Late()
	close(stop)
	running.Wait()
	is.True(late)
}
