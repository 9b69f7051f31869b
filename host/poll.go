package host

import (
	"context"
	"strings"
	"time"

	"github.com/cowslipgap/cowslipgap/allotment"
	"github.com/cowslipgap/cowslipgap/control"
	"github.com/cowslipgap/cowslipgap/pause"
	"github.com/cowslipgap/cowslipgap/record"
	"github.com/cowslipgap/cowslipgap/storage"
)

const (
	sharedPollInterval  = time.Second
	zonePollInterval    = 500 * time.Millisecond
	workersPollInterval = time.Second
	sharedPrefix        = "shared/"
)

// runPeriodically calls f until ctx ends, with a pause of d between calls.
func runPeriodically(ctx context.Context, d time.Duration, f func()) {
	for ctx.Err() == nil {
		f()
		pause.Sleep(ctx, d)
	}
}

// pollShared polls the table for changed records, allotments and rows that
// describe zones.
func (h *Host) pollShared(ctx context.Context) {
	after := uint64(0)
	runPeriodically(ctx, sharedPollInterval, func() {
		readAt := time.Now()
		rows, next, err := h.platform.Changes(ctx, sharedPrefix, after)
		h.counters.tableReads.Add(1)
		if err != nil {
			h.Log.Debug("table: reading shared rows failed", "err", err.Error())
			return
		}
		var records, allotments, zones []storage.Row
		for _, row := range rows {
			switch {
			case strings.HasPrefix(row.Key, record.Prefix("")):
				records = append(records, row)
			case strings.HasPrefix(row.Key, allotment.Prefix):
				allotments = append(allotments, row)
			case strings.HasPrefix(row.Key, control.ZoneRowPrefix):
				zones = append(zones, row)
			}
		}
		after = next
		cat := h.catalog.Load().Apply(records, next, readAt)
		h.catalog.Store(cat)
		h.post(control.Catalog{Catalog: cat})
		if len(zones) > 0 {
			h.post(control.ZoneList{Rows: zones})
		}
		if len(allotments) > 0 {
			h.post(control.AllotmentRows{Rows: allotments})
		}
	})
}

// pollZone polls the table for changed sessions, heartbeats and racks of this
// availability zone.
func (h *Host) pollZone(ctx context.Context) {
	after := uint64(0)
	prefix := control.ZonePrefix(h.Settings.Zone)
	runPeriodically(ctx, zonePollInterval, func() {
		rows, next, err := h.platform.Changes(ctx, prefix, after)
		h.counters.tableReads.Add(1)
		if err != nil {
			h.Log.Debug("table: reading the rows of the zone failed", "err", err.Error())
			return
		}
		after = next
		if len(rows) > 0 {
			h.post(control.ZoneRows{Rows: rows})
		}
	})
}

// pollWorkers polls the platform's list of workers in this availability zone.
func (h *Host) pollWorkers(ctx context.Context) {
	version := uint64(0)
	runPeriodically(ctx, workersPollInterval, func() {
		list, err := h.platform.Workers(ctx, h.Settings.Zone, version)
		if err != nil {
			h.Log.Debug("platform: reading the list of workers failed", "err", err.Error())
			return
		}
		if list.Version != version {
			version = list.Version
			h.post(control.Workers{List: list.Workers})
		}
	})
}
