// Package demo runs a whole deployment in one process: the stand-ins, the entry
// hosts of every availability zone, the deployment's records and a mixed load.
// It then reports what was measured and what the workers counted.
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
	operatorKey  = "demo-operator-key-0001"
	peerKey      = "demo-peer-key-00000001"
	secretPrefix = "demo-secret-of-"
	startTimeout = 15 * time.Second
	settleTime   = 60 * time.Second
	sampleEvery  = 50 * time.Millisecond
	pollEvery    = 50 * time.Millisecond
)

// ErrStart says that the deployment did not come up.
var ErrStart = errors.New("demo: cannot start")

// Demo is one run.
type Demo struct {
	Deployment deployment.Deployment
	Length     time.Duration // of the load
	Seed       uint64
	Faults     bool         // draw faults from the seed
	Log        *slog.Logger // slog.Default() if nil

	standin *standin.Standin
	places  []*place
	load    *load.Load
	checks  checks
	faults  []Fault
}

// Run carries out the demo and stops everything it started.
func (d *Demo) Run(ctx context.Context) (Report, error) {
	if d.Log == nil {
		d.Log = slog.Default()
	}
	defer d.stop()
	if err := d.start(ctx); err != nil {
		return Report{}, errors.Mark(err, ErrStart)
	}
	began := time.Now()
	writes, _ := d.standin.TableCounts()
	watching, stopWatching := context.WithCancel(ctx)
	var watchers sync.WaitGroup
	watchers.Go(func() { d.sample(watching) })
	watchers.Go(func() { d.watch(watching) })
	if d.Faults {
		watchers.Go(func() { d.drawFaults(watching, began) })
	}
	d.load.Run(ctx, d.Length)
	ended := time.Now()
	counters := d.counters()
	writesAfter, _ := d.standin.TableCounts()
	stopWatching()
	watchers.Wait()
	settle, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	d.load.Settle(settle)
	return d.report(began, ended, counters, writesAfter-writes), nil
}

// start brings up the stand-ins, the entry hosts and the records.
func (d *Demo) start(ctx context.Context) error {
	dep := d.Deployment
	d.standin = &standin.Standin{
		Zones: dep.Zones, WorkersPerZone: dep.WorkersPerZone, WorkersPerRack: dep.WorkersPerRack,
		Room: dep.Room, Connections: dep.Connections, HostListLag: 2 * time.Second, UsageLag: 2 * time.Second,
	}
	if err := d.standin.Start("127.0.0.1:0"); err != nil {
		return err
	}
	for _, zone := range dep.Zones {
		for i := range dep.HostsPerZone {
			p := &place{settings: d.settings(zone, i), log: d.Log}
			if err := p.open(ctx, d.standin.URL(), d.Faults); err != nil {
				return err
			}
			d.places = append(d.places, p)
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
	d.load = &load.Load{Deployment: dep, Entry: map[string][]string{}, Keys: map[string]string{}, Seed: d.Seed}
	for _, p := range d.places {
		d.load.Entry[p.settings.Zone] = append(d.load.Entry[p.settings.Zone], p.url())
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
	want := len(d.Deployment.Zones) * d.Deployment.WorkersPerZone
	return poll(ctx, "entry hosts are not ready", func() bool {
		workers := 0
		for _, p := range d.places {
			h := p.current()
			if !h.Ready() {
				return false
			}
			workers += h.Summary().Load.Workers
		}
		return workers == want
	})
}

func (d *Demo) operator() client.Client {
	return client.Client{Base: d.places[0].url(), Key: operatorKey, Operator: "demo"}
}

func (d *Demo) writeRecords(ctx context.Context) error {
	for _, t := range d.Deployment.Teams {
		if err := d.put(ctx, record.KindTeam, t.Name, 1, map[string]any{"title": t.Name}); err != nil {
			return err
		}
		if err := d.put(ctx, record.KindKey, t.Name, 1, map[string]any{"team": t.Name, "secret": secretPrefix + t.Name}); err != nil {
			return err
		}
		if err := d.put(ctx, record.KindShare, t.Name, 2, map[string]any{"weight": t.Share}); err != nil {
			return err
		}
		if t.Limit == 0 {
			continue
		}
		d.standin.Ledger.SetLimit(t.Name, t.Limit)
		if err := d.put(ctx, record.KindLimit, t.Name, 1, map[string]any{"tasks": t.Limit}); err != nil {
			return err
		}
	}
	return nil
}

func (d *Demo) put(ctx context.Context, kind, name string, schema int, data map[string]any) error {
	value, err := json.Marshal(data)
	if err != nil {
		return errors.Wrapf(err, "encode record %s/%s", kind, name)
	}
	_, err = d.operator().PutRecord(ctx, kind, name, gateway.RecordBody{Schema: schema, Data: value})
	return errors.Wrapf(err, "write record %s/%s", kind, name)
}

// waitAccepted waits until the last record is in force everywhere.
func (d *Demo) waitAccepted(ctx context.Context) error {
	last := d.Deployment.Teams[len(d.Deployment.Teams)-1].Name
	return poll(ctx, "records are not in force", func() bool {
		s, err := d.operator().GetRecord(ctx, record.KindShare, last)
		return err == nil && s.State == "accepted"
	})
}

func poll(ctx context.Context, what string, done func() bool) error {
	for !done() {
		select {
		case <-time.After(pollEvery):
		case <-ctx.Done():
			return errors.Newf("%s in time", what)
		}
	}
	return nil
}

func (d *Demo) sample(ctx context.Context) {
	for ctx.Err() == nil {
		d.standin.Ledger.Take()
		select {
		case <-time.After(sampleEvery):
		case <-ctx.Done():
		}
	}
}

func (d *Demo) counters() host.Counters {
	var sum host.Counters
	for _, p := range d.places {
		c := p.current().Counters()
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
	for _, p := range d.places {
		p.close()
	}
	if d.standin != nil {
		d.standin.Close()
	}
}
