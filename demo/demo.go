// Package demo runs a whole deployment in one process: a simulated platform with
// its workers, the entry hosts of every availability zone, the deployment's
// records and a mixed load. It then reports what was measured and what the
// workers counted.
//
// # Usage
//
//	d := demo.Demo{Deployment: dep, Length: 10 * time.Second, Seed: 1}
//	report, err := d.Run(ctx)
//	fmt.Print(report)
package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cowslipgap/cowslipgap/client"
	"github.com/cowslipgap/cowslipgap/deployment"
	"github.com/cowslipgap/cowslipgap/gateway"
	"github.com/cowslipgap/cowslipgap/host"
	"github.com/cowslipgap/cowslipgap/load"
	"github.com/cowslipgap/cowslipgap/record"
	"github.com/cowslipgap/cowslipgap/settings"
	"github.com/cowslipgap/cowslipgap/standin"
)

const (
	operatorKey    = "demo-operator-key-0001"
	peerKey        = "demo-peer-key-00000001"
	secretPrefix   = "demo-secret-of-"
	startTimeout   = 15 * time.Second
	waitTimeout    = 60 * time.Second
	sampleInterval = 50 * time.Millisecond
	pollInterval   = 50 * time.Millisecond
)

// ErrStart marks errors that prevent the deployment from starting.
var ErrStart = errors.New("demo: cannot start")

// Demo is one run of a deployment. Set Deployment and Length, then call Run once.
type Demo struct {
	Deployment deployment.Deployment
	Length     time.Duration // how long the load runs
	Seed       uint64
	Faults     bool         // inject faults, drawn from Seed
	Log        *slog.Logger // slog.Default() if nil

	standin *standin.Standin
	nodes   []*node
	load    *load.Load
	checks  propertyChecks
	faults  []Fault
}

// Run starts the deployment, runs the load and returns the report. It stops
// everything that it started.
func (d *Demo) Run(ctx context.Context) (Report, error) {
	if d.Log == nil {
		d.Log = slog.Default()
	}
	defer d.stop()
	if err := d.start(ctx); err != nil {
		return Report{}, errors.Mark(err, ErrStart)
	}
	began := time.Now()
	writesBefore, _ := d.standin.TableCounts()
	monitorCtx, stopMonitors := context.WithCancel(ctx)
	var monitors sync.WaitGroup
	monitors.Go(func() { d.sampleUsage(monitorCtx) })
	monitors.Go(func() { d.monitor(monitorCtx) })
	if d.Faults {
		monitors.Go(func() { d.injectFaults(monitorCtx, began) })
	}
	d.load.Run(ctx, d.Length)
	ended := time.Now()
	counters := d.sumCounters()
	writesAfter, _ := d.standin.TableCounts()
	stopMonitors()
	monitors.Wait()
	waitCtx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	d.load.WaitAll(waitCtx)
	return d.report(began, ended, counters, writesAfter-writesBefore), nil
}

// start starts the simulated platform and the entry hosts, writes the records
// and prepares the load.
func (d *Demo) start(ctx context.Context) error {
	dep := d.Deployment
	d.standin = &standin.Standin{
		Zones: dep.Zones, WorkersPerZone: dep.WorkersPerZone, WorkersPerRack: dep.WorkersPerRack,
		WorkerCapacity: dep.WorkerCapacity, MaxConnections: dep.Connections, WorkerListLag: 2 * time.Second, UsageLag: 2 * time.Second,
	}
	if err := d.standin.Start("127.0.0.1:0"); err != nil {
		return err
	}
	for _, zone := range dep.Zones {
		for i := range dep.HostsPerZone {
			n := &node{settings: d.settings(zone, i), log: d.Log}
			if err := n.start(ctx, d.standin.URL(), d.Faults); err != nil {
				return err
			}
			d.nodes = append(d.nodes, n)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := d.waitReady(ctx); err != nil {
		return err
	}
	if err := d.writeRecords(ctx); err != nil {
		return err
	}
	if err := d.waitAccepted(ctx); err != nil {
		return err
	}
	d.load = &load.Load{Deployment: dep, EntryURLs: map[string][]string{}, Keys: map[string]string{}, Seed: d.Seed}
	for _, n := range d.nodes {
		d.load.EntryURLs[n.settings.Zone] = append(d.load.EntryURLs[n.settings.Zone], n.url())
	}
	for _, t := range dep.Teams {
		d.load.Keys[t.Name] = t.Name + "." + secretPrefix + t.Name
	}
	return nil
}

func (d *Demo) settings(zone string, i int) settings.Settings {
	s := settings.Default()
	s.Name, s.Zone = fmt.Sprintf("%s-%d", zone, i+1), zone
	s.HTTPAddr, s.PeerAddr = "127.0.0.1:0", "127.0.0.1:0"
	s.OperatorKey, s.PeerKey = operatorKey, peerKey
	return s
}

// waitReady waits until every host is ready and every worker has an owner.
func (d *Demo) waitReady(ctx context.Context) error {
	totalWorkers := len(d.Deployment.Zones) * d.Deployment.WorkersPerZone
	return waitUntil(ctx, "entry hosts are not ready", func() bool {
		workers := 0
		for _, n := range d.nodes {
			h := n.current()
			if !h.Ready() {
				return false
			}
			workers += h.Summary().Load.Workers
		}
		return workers == totalWorkers
	})
}

func (d *Demo) operatorClient() client.Client {
	return client.Client{BaseURL: d.nodes[0].url(), Key: operatorKey, Operator: "demo"}
}

func (d *Demo) writeRecords(ctx context.Context) error {
	for _, t := range d.Deployment.Teams {
		if err := d.putRecord(ctx, record.KindTeam, t.Name, 1, map[string]any{"title": t.Name}); err != nil {
			return err
		}
		if err := d.putRecord(ctx, record.KindKey, t.Name, 1, map[string]any{"team": t.Name, "secret": secretPrefix + t.Name}); err != nil {
			return err
		}
		if err := d.putRecord(ctx, record.KindShare, t.Name, 2, map[string]any{"weight": t.Share}); err != nil {
			return err
		}
		if t.Limit == 0 {
			continue
		}
		d.standin.Ledger.SetLimit(t.Name, t.Limit)
		if err := d.putRecord(ctx, record.KindLimit, t.Name, 1, map[string]any{"tasks": t.Limit}); err != nil {
			return err
		}
	}
	return nil
}

func (d *Demo) putRecord(ctx context.Context, kind, name string, schema int, data map[string]any) error {
	value, err := json.Marshal(data)
	if err != nil {
		return errors.Wrapf(err, "encode record %s/%s", kind, name)
	}
	_, err = d.operatorClient().PutRecord(ctx, kind, name, gateway.RecordBody{Schema: schema, Data: value})
	return errors.Wrapf(err, "write record %s/%s", kind, name)
}

// waitAccepted waits until the share of the last team, which is written after
// all others, is in effect on every host.
func (d *Demo) waitAccepted(ctx context.Context) error {
	lastTeam := d.Deployment.Teams[len(d.Deployment.Teams)-1].Name
	return waitUntil(ctx, "records are not in effect", func() bool {
		s, err := d.operatorClient().GetRecord(ctx, record.KindShare, lastTeam)
		return err == nil && s.State == "accepted"
	})
}

// waitUntil waits until done returns true. If ctx ends first, it returns an
// error that begins with failure.
func waitUntil(ctx context.Context, failure string, done func() bool) error {
	for !done() {
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return errors.Newf("%s in time", failure)
		}
	}
	return nil
}

// sampleUsage samples the usage of all teams until ctx is done.
func (d *Demo) sampleUsage(ctx context.Context) {
	for ctx.Err() == nil {
		d.standin.Ledger.TakeSample()
		select {
		case <-time.After(sampleInterval):
		case <-ctx.Done():
		}
	}
}

// sumCounters returns the sum of the counters of all current hosts.
func (d *Demo) sumCounters() host.Counters {
	var sum host.Counters
	for _, n := range d.nodes {
		c := n.current().Counters()
		sum.Events += c.Events
		sum.ControlTime += c.ControlTime
		sum.Starts += c.Starts
		sum.Renewals += c.Renewals
		sum.Forwards += c.Forwards
		sum.JournalWrites += c.JournalWrites
		sum.PeerBytesSent += c.PeerBytesSent
		sum.PeerBytesReceived += c.PeerBytesReceived
	}
	return sum
}

func (d *Demo) stop() {
	for _, n := range d.nodes {
		n.close()
	}
	if d.standin != nil {
		d.standin.Close()
	}
}
