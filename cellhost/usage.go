package cellhost

import (
	"context"
	"math"
	"os"
	"runtime/metrics"
	"slices"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"github.com/cowslipgap/cowslipgap/cell"
	"github.com/cowslipgap/cowslipgap/headroom"
	"github.com/cowslipgap/cowslipgap/pause"
)

// usageInterval is the time over which the use of the processor and the link is averaged.
const usageInterval = time.Second

// usageReport holds the percentages of a host's limits that it uses: processor, link,
// memory and descriptors. It is empty if nothing is known.
type usageReport []byte

// decode returns the usage that was received at the given time.
func (r usageReport) decode(at cell.Instant) headroom.Usage {
	if len(r) < 4 {
		return headroom.Usage{At: at}
	}
	share := func(i int) float64 { return float64(r[i]) / 100 }
	return headroom.Usage{At: at, Processor: share(0), Link: share(1), Memory: share(2), Descriptors: share(3)}
}

// metrics returns the report for the metrics, by limit.
func (r usageReport) metrics() map[string]int {
	if len(r) < 4 {
		return nil
	}
	return map[string]int{"processor": int(r[0]), "link": int(r[1]), "memory": int(r[2]), "descriptors": int(r[3])}
}

// consumption is what this process has consumed so far, or holds.
type consumption struct {
	at          cell.Instant
	processor   time.Duration
	linkBytes   int64 // in the busier direction
	memoryBytes int64
	descriptors int
}

// limits are the limits of a host; 0: unknown.
type limits struct {
	cores       float64
	linkMbps    float64
	memoryMB    int64
	descriptors int
}

// report returns the use of the limits from an earlier consumption to a later one.
func (l limits) report(from, to consumption) usageReport {
	seconds := (to.at - from.at).Seconds()
	percent := func(used, limit float64) byte {
		if limit <= 0 {
			return 0
		}
		return byte(math.Round(100 * min(1, max(0, used/limit))))
	}
	return usageReport{
		percent((to.processor - from.processor).Seconds(), l.cores*seconds),
		percent(float64(to.linkBytes-from.linkBytes)*8, l.linkMbps*1e6*seconds),
		percent(float64(to.memoryBytes), float64(l.memoryMB<<20)),
		percent(float64(to.descriptors), float64(l.descriptors)),
	}
}

// measureUsage measures what this process uses of its host's limits.
func (h *Host) measureUsage(ctx context.Context) {
	limits := limits{cores: h.Cores, linkMbps: h.LinkMbps, memoryMB: h.MemoryMB}
	var files unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &files); err != nil {
		h.Log.Warn("limit of descriptors is unknown", "error", err)
	}
	limits.descriptors = int(min(files.Cur, math.MaxInt32))
	before, err := h.consumption()
	for err == nil && pause.Sleep(ctx, usageInterval) {
		var after consumption
		if after, err = h.consumption(); err == nil {
			report := limits.report(before, after)
			h.usageNow.Store(&report)
			before = after
		}
	}
	if err != nil {
		h.usageNow.Store(nil)
		h.Log.Warn("usage of this host is unknown", "error", err)
	}
}

// consumption reads what this process has consumed. Memory is what is in use: the rest of
// the resident memory is garbage that Go collects when it needs the room.
func (h *Host) consumption() (consumption, error) {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return consumption{}, err
	}
	files, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return consumption{}, err
	}
	sample := []metrics.Sample{{Name: "/gc/heap/live:bytes"}, {Name: "/memory/classes/heap/stacks:bytes"}}
	metrics.Read(sample)
	sent, received := int64(0), int64(0)
	for _, t := range h.Counts.Traffic.Summary() {
		sent, received = sent+t.BytesSent, received+t.BytesReceived
	}
	return consumption{
		at: h.Now(), processor: time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), linkBytes: max(sent, received),
		memoryBytes: int64(sample[0].Value.Uint64() + sample[1].Value.Uint64()), descriptors: len(files),
	}, nil
}

// usage returns what this host uses of its limits, or nil if it is unknown.
func (h *Host) usage() usageReport {
	if r := h.usageNow.Load(); r != nil {
		return *r
	}
	return nil
}

// hostsForAdvice returns the hosts that call the advice service, sorted: this owner and the
// given members, without those that have too little left, or all if none has enough.
func (k *ownershipKeeper) hostsForAdvice(members []string) []string {
	h := k.host
	busy := h.ownership.passedOver()
	if key := strings.Join(busy, ","); key != k.loggedBusy {
		k.loggedBusy = key
		h.Log.Info("hosts without headroom", "hosts", busy)
	}
	hosts := slices.DeleteFunc(slices.Clone(members), func(name string) bool { return slices.Contains(busy, name) })
	now := h.Now()
	k.passedOver = !h.usage().decode(now).CanHelp(now, k.passedOver)
	if !k.passedOver {
		hosts = append(hosts, h.Name)
	}
	if len(hosts) == 0 {
		hosts = append(slices.Clone(members), h.Name)
	}
	slices.Sort(hosts)
	return hosts
}

// passedOver returns the sorted names of the members that get no work for others.
func (o *ownership) passedOver() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var names []string
	for name, m := range o.members {
		if m.passedOver {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
