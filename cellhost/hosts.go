package cellhost

import (
	"fmt"
	"hash/fnv"
)

const (
	// fullCores, fullLinkMbps and fullMemoryMB are what the owner of a large cell needs.
	// More does not make a host stronger.
	fullCores    = 0.8
	fullLinkMbps = 50
	fullMemoryMB = 400
	// stepsPerStrength is the number of extra steps of a host without any strength among
	// hosts with full strength, before it is limited to maxExtraSteps.
	stepsPerStrength = 16
	// relayWorkersPerCore and relayWorkersPerMbps are how many workers a relay can serve
	// for each processor core and each megabit per second of its link.
	relayWorkersPerCore = 400
	relayWorkersPerMbps = 20
)

// workShare is the share of the memory of the smallest host that accepted jobs may take.
const workShare = 0.4

// workLimit returns how many bytes accepted jobs may take at the owner; 0: no limit.
func (h *Host) workLimit() int64 {
	if h.WorkBytes > 0 {
		return h.WorkBytes
	}
	smallest := h.MemoryMB
	h.ownership.mu.Lock()
	defer h.ownership.mu.Unlock()
	for _, info := range h.ownership.hosts.byName {
		if info.MemoryMB > 0 && (smallest == 0 || info.MemoryMB < smallest) {
			smallest = info.MemoryMB
		}
	}
	return int64(workShare * float64(smallest<<20))
}

// hostInfo describes an entry host to the others. Zero limits are unknown.
type hostInfo struct {
	Addr     string  `cbor:"1,keyasint"`
	Zone     string  `cbor:"2,keyasint,omitempty"`
	Cores    float64 `cbor:"3,keyasint,omitempty"`
	LinkMbps float64 `cbor:"4,keyasint,omitempty"`
	MemoryMB int64   `cbor:"5,keyasint,omitempty"`
}

// strength returns how fit the host is to own a large cell, from 0 to 1. Its scarcest
// resource decides.
func (i hostInfo) strength() float64 {
	s := 1.0
	limit := func(have, full float64) {
		if have > 0 {
			s = min(s, have/full)
		}
	}
	limit(i.Cores, fullCores)
	limit(i.LinkMbps, fullLinkMbps)
	limit(float64(i.MemoryMB), fullMemoryMB)
	return s
}

// capacity returns how many workers the host can serve as a relay, 0 if its limits are
// unknown.
func (i hostInfo) capacity() int {
	return int(min(i.Cores*relayWorkersPerCore, i.LinkMbps*relayWorkersPerMbps))
}

// hostList holds all entry hosts ever heard of. The zero value is empty.
type hostList struct {
	byName  map[string]hostInfo
	version uint64 // changes with each change of the list
}

// record adds or updates a host.
func (l *hostList) record(name string, info hostInfo) {
	before, known := l.byName[name]
	if known && before == info {
		return
	}
	if l.byName == nil {
		l.byName = map[string]hostInfo{}
	}
	l.byName[name] = info
	if known {
		l.version -= entryHash(name, before)
	}
	l.version += entryHash(name, info)
}

// entryHash returns the hash of one entry. Their sum identifies the content of a list.
func entryHash(name string, info hostInfo) uint64 {
	hash := fnv.New64a()
	_, _ = fmt.Fprintf(hash, "%s %+v", name, info) // never fails
	return hash.Sum64()
}

// extraSteps returns the extra delay, in steps of claimStagger, with which a host claims
// the cell because others are stronger. Before any other host is known, it is compared
// to a host of full strength.
func (l *hostList) extraSteps(self hostInfo) int {
	best := 1.0
	if len(l.byName) > 1 {
		best = self.strength()
		for _, info := range l.byName {
			best = max(best, info.strength())
		}
	}
	return int(min(maxExtraSteps, (best-self.strength())*stepsPerStrength))
}

// info describes this host.
func (h *Host) info() hostInfo {
	return hostInfo{Addr: h.Addr, Zone: h.Zone, Cores: h.Cores, LinkMbps: h.LinkMbps, MemoryMB: h.MemoryMB}
}

// extraSteps returns the extra delay of this host's claims, in steps of claimStagger.
func (h *Host) extraSteps() int {
	h.ownership.mu.Lock()
	defer h.ownership.mu.Unlock()
	return h.ownership.hosts.extraSteps(h.info())
}
