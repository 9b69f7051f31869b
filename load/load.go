// Package load drives a running deployment with a mixed load and keeps what
// came of it. Arrivals of requests are open-loop: they do not wait for answers.
// Batch jobs keep every team's queue filled, so that shares count.
//
// # Usage
//
//	l := load.Load{Deployment: d, Entry: entryURLs, Keys: keys, Seed: 1}
//	l.Run(ctx, 10*time.Second)
//	l.Settle(ctx)
//	r := l.Result()
package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"github.com/cowslipgap/cowslipgap/class"
	"github.com/cowslipgap/cowslipgap/client"
	"github.com/cowslipgap/cowslipgap/deployment"
	"github.com/cowslipgap/cowslipgap/gateway"
	"github.com/cowslipgap/cowslipgap/job"
	"github.com/cowslipgap/cowslipgap/pause"
	"github.com/cowslipgap/cowslipgap/refusal"
)

// unreachable is the code that Result counts calls under that got no answer.
const unreachable = "unreachable"

const (
	lowestWait  = int64(time.Microsecond)
	highestWait = int64(10 * time.Minute)
	precision   = 3 // decimal digits of the histograms
	// jobsAhead is how many unfinished batch jobs each team keeps in each zone.
	jobsAhead = 2
	jobPoll   = 250 * time.Millisecond
	// onceEvery is of how many small requests one is marked as non-idempotent.
	onceEvery = 5
	maxJobs   = 100_000
)

// Load drives a deployment.
type Load struct {
	Deployment deployment.Deployment
	// Entry lists the URLs of entry hosts, by availability zone.
	Entry map[string][]string
	Keys  map[string]string // by team
	Seed  uint64
	Scale float64 // factor on the rates of requests; 1 if zero

	mu      sync.Mutex
	waits   map[string]*hdrhistogram.Histogram // by name of work
	sent    map[string]int
	codes   map[string]int // refusals
	jobs    []Job
	answers []Request
	wg      sync.WaitGroup
	http    *http.Client
	serial  uint64
}

// Request is what became of a request, for comparison with the workers' ledger.
type Request struct {
	Tag string
	At  time.Time
	// Ran is "done" for an answer, or what the refusal said.
	Ran  string
	Code string
	Zone string
	Wait time.Duration

	Entry         string
	Ended         time.Time
	NonIdempotent bool
	Broken        bool // the connection failed after the request was sent
	Mismatch      bool // the answer was to another request
}

// Job is an accepted job.
type Job struct {
	ID, Team, Tag, Entry string
	Zone                 string
	Tasks                int
	State                string // when last read
	Err                  string // of the last reading that failed
}

// Result is what a load has seen.
type Result struct {
	Waits    map[string]*hdrhistogram.Histogram // nanoseconds, by name of work
	Sent     map[string]int
	Codes    map[string]int
	Jobs     []Job
	Requests []Request
}

func (l *Load) init() {
	if l.waits != nil {
		return
	}
	l.waits = map[string]*hdrhistogram.Histogram{}
	l.sent = map[string]int{}
	l.codes = map[string]int{}
	if l.Scale == 0 {
		l.Scale = 1
	}
	for _, w := range l.Deployment.Work {
		l.waits[w.Name] = hdrhistogram.New(lowestWait, highestWait, precision)
	}
	l.http = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024, IdleConnTimeout: time.Minute}}
}

// Run sends work for the given time.
func (l *Load) Run(ctx context.Context, length time.Duration) {
	l.init()
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	var senders sync.WaitGroup
	for i, w := range l.Deployment.Work {
		rng := rand.New(rand.NewPCG(l.Seed, uint64(i)))
		if w.Class == class.Batch {
			l.keepJobs(ctx, w, &senders)
			continue
		}
		senders.Go(func() { l.arrive(ctx, w, rng) })
	}
	senders.Wait()
}

// arrive sends one kind of work at random times with the given rate.
func (l *Load) arrive(ctx context.Context, w deployment.Work, rng *rand.Rand) {
	next := time.Now()
	for {
		next = next.Add(time.Duration(rng.ExpFloat64() / (w.Rate * l.Scale) * float64(time.Second)))
		if !pause.For(ctx, time.Until(next)) {
			return
		}
		a := l.draw(w, rng)
		l.wg.Go(func() { l.send(context.WithoutCancel(ctx), a) })
	}
}

// arrival is one request or job to send.
type arrival struct {
	work  deployment.Work
	team  string
	zone  string
	entry string
	run   time.Duration
	tag   string
	once  bool // non-idempotent, with a request id
}

func (l *Load) draw(w deployment.Work, rng *rand.Rand) arrival {
	d := l.Deployment
	zone := d.Zones[rng.IntN(len(d.Zones))]
	entries := l.Entry[zone]
	l.mu.Lock()
	l.serial++
	serial := l.serial
	l.sent[w.Name]++
	l.mu.Unlock()
	return arrival{
		work: w, team: d.Teams[rng.IntN(len(d.Teams))].Name, zone: zone, entry: entries[rng.IntN(len(entries))],
		run: w.Low + time.Duration(rng.Int64N(int64(w.High-w.Low)+1)),
		tag: fmt.Sprintf("%d-%d", l.Seed, serial), once: w.Class == class.Small && rng.IntN(onceEvery) == 0,
	}
}

func (a arrival) body() gateway.Body {
	payload, _ := json.Marshal(map[string]any{"workMillis": a.run.Milliseconds(), "tag": a.tag}) // plain values always encode
	b := gateway.Body{
		Class: string(a.work.Class), Need: a.work.Need, Tasks: a.work.Tasks,
		DeadlineMillis: a.work.Deadline.Milliseconds(), Payload: payload,
	}
	if a.once {
		b.NonIdempotent, b.RequestID = true, a.tag
	}
	return b
}

func (l *Load) client(a arrival) client.Client {
	return client.Client{Base: a.entry, Key: l.Keys[a.team], HTTP: l.http}
}

func (l *Load) send(ctx context.Context, a arrival) {
	if a.work.Tasks > 0 {
		l.sendJob(ctx, a)
		return
	}
	began := time.Now()
	answer, err := l.client(a).Submit(ctx, a.body())
	wait := max(0, time.Since(began)-a.run)
	r := Request{Tag: a.tag, At: began, Ran: "done", Zone: a.zone, Wait: wait, Entry: a.entry, Ended: time.Now(), NonIdempotent: a.once}
	if err != nil {
		r.Code, r.Ran = l.note(err)
		r.Broken = r.Code == unreachable && !errors.Is(err, syscall.ECONNREFUSED)
	} else {
		r.Mismatch = !bytes.Contains(answer.Output, []byte(`"`+a.tag+`"`))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil {
		_ = l.waits[a.work.Name].RecordValue(int64(max(wait, time.Microsecond)))
	}
	l.answers = append(l.answers, r)
}

// note counts a refusal and returns its code and what it says of the work.
func (l *Load) note(err error) (code, ran string) {
	code, ran = unreachable, refusal.Unknown
	var r *refusal.Refusal
	if errors.As(err, &r) {
		code, ran = r.Code, r.Ran
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.codes[code]++
	return code, ran
}

func (l *Load) sendJob(ctx context.Context, a arrival) (Job, bool) {
	id, err := l.client(a).SubmitJob(ctx, withoutDeadline(a.body()))
	if err != nil {
		l.note(err)
		return Job{}, false
	}
	j := Job{ID: id, Team: a.team, Tag: a.tag, Entry: a.entry, Zone: a.zone, Tasks: a.work.Tasks}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs = append(l.jobs, j)
	return j, true
}

func withoutDeadline(b gateway.Body) gateway.Body {
	b.DeadlineMillis = 0
	return b
}

// keepJobs keeps every team's queue in every zone filled with batch jobs.
func (l *Load) keepJobs(ctx context.Context, w deployment.Work, senders *sync.WaitGroup) {
	for z, zone := range l.Deployment.Zones {
		for t, team := range l.Deployment.Teams {
			rng := rand.New(rand.NewPCG(l.Seed, uint64(1000*z+t+1000)))
			senders.Go(func() { l.keepTeam(ctx, w, zone, team.Name, rng) })
		}
	}
}

func (l *Load) keepTeam(ctx context.Context, w deployment.Work, zone, team string, rng *rand.Rand) {
	var ahead []Job
	for range maxJobs {
		if ctx.Err() != nil {
			return
		}
		if len(ahead) < jobsAhead {
			a := l.draw(w, rng)
			a.zone, a.team = zone, team
			entries := l.Entry[zone]
			a.entry = entries[rng.IntN(len(entries))]
			if j, ok := l.sendJob(context.WithoutCancel(ctx), a); ok {
				ahead = append(ahead, j)
				continue
			}
		}
		pause.For(ctx, jobPoll)
		kept := ahead[:0]
		for _, j := range ahead {
			if st, err := l.read(ctx, j); err != nil || st.Counts[job.Waiting] > j.Tasks/2 {
				kept = append(kept, j)
			}
		}
		ahead = kept
	}
}

// read asks for a job at every entry host of its zone until one knows it.
func (l *Load) read(ctx context.Context, j Job) (job.Status, error) {
	var st job.Status
	err := errors.New("no entry host")
	for _, entry := range l.Entry[j.Zone] {
		c := client.Client{Base: entry, Key: l.Keys[j.Team], HTTP: l.http}
		if st, err = c.Job(ctx, j.ID); err == nil {
			return st, nil
		}
	}
	return st, err
}

// Settle waits for every answer, and for every accepted job to end, as long as
// ctx allows.
func (l *Load) Settle(ctx context.Context) {
	l.wg.Wait()
	for ctx.Err() == nil {
		open := 0
		for i := range l.jobs {
			j := &l.jobs[i]
			if j.State == job.Done {
				continue
			}
			if st, err := l.read(ctx, *j); err == nil {
				j.State = st.State
			} else {
				j.Err = err.Error()
			}
			if j.State == "" || j.State == job.Waiting {
				open++
			}
		}
		if open == 0 {
			return
		}
		pause.For(ctx, jobPoll)
	}
}

// Result returns what has been seen. Call it after Settle.
func (l *Load) Result() Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Result{Waits: l.waits, Sent: l.sent, Codes: l.codes, Jobs: l.jobs, Requests: l.answers}
}
