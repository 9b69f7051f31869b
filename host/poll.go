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
	pollSharedEvery = time.Second
	pollZoneEvery   = 500 * time.Millisecond
	pollHostsEvery  = time.Second
	sharedPrefix    = "shared/"
)

// repeat calls f at once and then every d until ctx is done.
func repeat(ctx context.Context, d time.Duration, f func()) {
	for ctx.Err() == nil {
		f()
		pause.For(ctx, d)
	}
}

// pollShared follows the records and the allotments.
func (h *Host) pollShared(ctx context.Context) {
	after := uint64(0)
	repeat(ctx, pollSharedEvery, func() {
		asked := time.Now()
		rows, next, err := h.platform.Changes(ctx, sharedPrefix, after)
		h.counters.reads.Add(1)
		if err != nil {
			h.Log.Debug("table: reading records failed", "err", err.Error())
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
		cat := h.catalog.Load().Apply(records, next, asked)
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

// pollZone follows the sessions, heartbeats and racks of this availability zone.
func (h *Host) pollZone(ctx context.Context) {
	after := uint64(0)
	prefix := control.ZonePrefix(h.Settings.Zone)
	repeat(ctx, pollZoneEvery, func() {
		rows, next, err := h.platform.Changes(ctx, prefix, after)
		h.counters.reads.Add(1)
		if err != nil {
			h.Log.Debug("table: reading the zone failed", "err", err.Error())
			return
		}
		after = next
		if len(rows) > 0 {
			h.post(control.ZoneRows{Rows: rows})
		}
	})
}

// pollHosts follows the platform's list of workers.
func (h *Host) pollHosts(ctx context.Context) {
	version := uint64(0)
	repeat(ctx, pollHostsEvery, func() {
		list, err := h.platform.Hosts(ctx, h.Settings.Zone, version)
		if err != nil {
			h.Log.Debug("platform: reading the list of hosts failed", "err", err.Error())
			return
		}
		if list.Version != version {
			version = list.Version
			h.post(control.Hosts{List: list.Hosts})
		}
	})
}
