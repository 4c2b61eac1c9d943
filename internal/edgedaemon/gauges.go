package edgedaemon

import (
	"runtime"
	"time"
)

// gaugeInterval is how often the gauges of the process are updated.
const gaugeInterval = 500 * time.Millisecond

// updateGauges updates the gauges of the process as long as it runs.
func (d *Daemon) updateGauges() {
	goroutines, descriptors := d.metrics.Gauge("goroutines"), d.metrics.Gauge("open_descriptors")
	for {
		goroutines.Update(float64(runtime.NumGoroutine()))
		descriptors.Update(float64(countDescriptors()))
		time.Sleep(gaugeInterval)
	}
}
