package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/cowslipgap/cowslipgap/audit"
	"github.com/cowslipgap/cowslipgap/gateway"
	"github.com/cowslipgap/cowslipgap/job"
	"github.com/cowslipgap/cowslipgap/record"
)

// tableRows converts a value to the rows of a table. The known types get a
// header row.
func tableRows(value any) [][]string {
	switch v := value.(type) {
	case record.Record:
		return [][]string{recordHeader, recordRow(v)}
	case []record.Record:
		table := [][]string{recordHeader}
		for _, r := range v {
			table = append(table, recordRow(r))
		}
		return table
	case gateway.RecordState:
		return recordStateRows(v)
	case []audit.Entry:
		return auditRows(v)
	case job.Status:
		return [][]string{jobHeader, jobRow(v)}
	case []job.Status:
		table := [][]string{jobHeader}
		for _, s := range v {
			table = append(table, jobRow(s))
		}
		return table
	case gateway.HostLists:
		return hostRows(v)
	case map[string]string:
		table := [][]string{}
		for name, text := range v {
			table = append(table, []string{strings.ToUpper(name), text})
		}
		return table
	default:
		return [][]string{{fmt.Sprint(value)}}
	}
}

func recordStateRows(s gateway.RecordState) [][]string {
	table := [][]string{recordHeader}
	for _, r := range s.Versions {
		table = append(table, recordRow(r))
	}
	stateLine := s.State
	if len(s.WaitingFor) > 0 {
		stateLine += ", waiting for " + strings.Join(s.WaitingFor, ", ")
	}
	return append(table, []string{stateLine})
}

func auditRows(entries []audit.Entry) [][]string {
	table := [][]string{{"AT", "BY", "RECORD", "SCHEMA", "REVISION", "BEFORE", "AFTER"}}
	for _, e := range entries {
		before := "-"
		if e.Before != nil {
			before = dataColumn(*e.Before)
		}
		table = append(table, []string{
			e.At.Format(time.RFC3339), e.By, e.After.ID(), fmt.Sprint(e.After.Schema), fmt.Sprint(e.After.Revision), before, dataColumn(e.After),
		})
	}
	return table
}

func dataColumn(r record.Record) string {
	if r.Withdrawn {
		return "withdrawn"
	}
	return string(r.Data)
}

func hostRows(l gateway.HostLists) [][]string {
	table := [][]string{{"ENTRY HOST", "ZONE", "HTTP", "PEER", "RECORDS", "LEAVING"}}
	for _, h := range l.EntryHosts {
		table = append(table, []string{h.Name, h.Zone, h.HTTPAddr, h.PeerAddr, fmt.Sprint(h.RecordsRevision), fmt.Sprint(h.Leaving)})
	}
	table = append(table, []string{""}, []string{"WORKER", "ZONE", "RACK", "STATE", "SLOTS", "MILLICPU", "MEMORYMB", "ACCELERATORS"})
	for _, w := range l.Workers {
		table = append(table, []string{
			w.Name, w.Zone, w.Rack, w.State, fmt.Sprint(w.Capacity.Slots), fmt.Sprint(w.Capacity.MilliCPU), fmt.Sprint(w.Capacity.MemoryMB), fmt.Sprint(w.Capacity.Accelerators),
		})
	}
	return table
}
