// Package load sends a mixed load to a running deployment and records the
// outcomes. Requests arrive open-loop: they do not wait for earlier responses.
// Batch jobs keep every team's queue filled, so that the shares take effect.
//
// # Usage
//
//	l := load.Load{Deployment: d, EntryURLs: entryURLs, Keys: keys, Seed: 1}
//	l.Run(ctx, 10*time.Second)
//	l.WaitAll(ctx)
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

// unreachable is the code under which Result counts calls without a response.
const unreachable = "unreachable"

const (
	minWait           = int64(time.Microsecond)
	maxWait           = int64(10 * time.Minute)
	significantDigits = 3 // decimal digits to which the histograms are accurate
	// openJobsPerTeam is the number of batch jobs that each team keeps open in
	// each zone. A job counts as open while more than half of its tasks wait.
	openJobsPerTeam = 2
	jobPollInterval = 250 * time.Millisecond
	// nonIdempotentOneIn is n if on average one small request in n is non-idempotent.
	nonIdempotentOneIn = 5
	// maxRoundsPerTeam bounds the iterations of fillTeamQueue, each of which
	// submits a job or polls the open ones.
	maxRoundsPerTeam = 100_000
)

// Load is a mixed load on a deployment. Set the exported fields, then call Run,
// WaitAll and Result in this order.
type Load struct {
	Deployment deployment.Deployment
	// EntryURLs holds the URLs of the entry hosts, by availability zone.
	EntryURLs map[string][]string
	Keys      map[string]string // key of each team
	Seed      uint64
	Scale     float64 // factor applied to all request rates; 1 if zero

	mu         sync.Mutex
	waits      map[string]*hdrhistogram.Histogram // waiting times by name of workload
	sent       map[string]int
	codes      map[string]int // number of refusals by code
	jobs       []Job
	requests   []Request
	wg         sync.WaitGroup
	http       *http.Client
	lastSerial uint64
}

// Request is the outcome of one request, for comparison with the workers' ledger.
type Request struct {
	Tag    string    // in the payload, also counted by the workers' ledger
	SentAt time.Time // when the request was sent
	// Ran is "done" if the request succeeded, otherwise the Ran value of the
	// refusal.
	Ran  string
	Code string        // of the refusal, or unreachable; empty on success
	Zone string        // of the entry host
	Wait time.Duration // time to the response minus the duration of the work

	EntryURL       string    // URL of the entry host
	EndedAt        time.Time // when the response or the error arrived
	NonIdempotent  bool
	ConnectionLost bool // the connection failed after the request was sent
	Mismatch       bool // the response belonged to another request
}

// Job is an accepted job.
type Job struct {
	ID, Team, Tag, EntryURL string
	Zone                    string
	Tasks                   int
	State                   string // as last read
	Err                     string // of the last failed read
}

// Result holds the outcomes of a load.
type Result struct {
	Waits    map[string]*hdrhistogram.Histogram // waiting times in nanoseconds, by name of workload
	Sent     map[string]int                     // number of requests and jobs sent, by name of workload
	Codes    map[string]int                     // number of refusals by code, and of unreachable calls
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
	for _, w := range l.Deployment.Workloads {
		l.waits[w.Name] = hdrhistogram.New(minWait, maxWait, significantDigits)
	}
	l.http = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024, IdleConnTimeout: time.Minute}}
}

// Run sends work for the given time. Responses may still be outstanding when it
// returns.
func (l *Load) Run(ctx context.Context, length time.Duration) {
	l.init()
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	var senders sync.WaitGroup
	for i, w := range l.Deployment.Workloads {
		rng := rand.New(rand.NewPCG(l.Seed, uint64(i)))
		if w.Class == class.Batch {
			l.fillQueues(ctx, w, &senders)
			continue
		}
		senders.Go(func() { l.sendAtRate(ctx, w, rng) })
	}
	senders.Wait()
}

// sendAtRate sends the requests or jobs of a workload with exponentially distributed
// intervals, at the rate of the workload multiplied by Scale.
func (l *Load) sendAtRate(ctx context.Context, w deployment.Workload, rng *rand.Rand) {
	next := time.Now()
	for {
		next = next.Add(time.Duration(rng.ExpFloat64() / (w.Rate * l.Scale) * float64(time.Second)))
		if !pause.Sleep(ctx, time.Until(next)) {
			return
		}
		a := l.drawArrival(w, rng)
		l.wg.Go(func() { l.send(context.WithoutCancel(ctx), a) })
	}
}

// arrival is one request or job to send.
type arrival struct {
	workload      deployment.Workload
	team          string
	zone          string
	entry         string
	workTime      time.Duration
	tag           string
	nonIdempotent bool // sent with a request ID
}

// drawArrival draws the team, zone, entry host and duration of one request or job.
func (l *Load) drawArrival(w deployment.Workload, rng *rand.Rand) arrival {
	d := l.Deployment
	zone := d.Zones[rng.IntN(len(d.Zones))]
	entries := l.EntryURLs[zone]
	l.mu.Lock()
	l.lastSerial++
	serial := l.lastSerial
	l.sent[w.Name]++
	l.mu.Unlock()
	return arrival{
		workload: w, team: d.Teams[rng.IntN(len(d.Teams))].Name, zone: zone, entry: entries[rng.IntN(len(entries))],
		workTime: w.MinRunTime + time.Duration(rng.Int64N(int64(w.MaxRunTime-w.MinRunTime)+1)),
		tag:      fmt.Sprintf("%d-%d", l.Seed, serial), nonIdempotent: w.Class == class.Small && rng.IntN(nonIdempotentOneIn) == 0,
	}
}

func (a arrival) body() gateway.SubmitBody {
	payload, _ := json.Marshal(map[string]any{"workMillis": a.workTime.Milliseconds(), "tag": a.tag}) // plain values always encode
	b := gateway.SubmitBody{
		Class: string(a.workload.Class), Need: a.workload.Need, Tasks: a.workload.Tasks,
		DeadlineMillis: a.workload.Deadline.Milliseconds(), Payload: payload,
	}
	if a.nonIdempotent {
		b.NonIdempotent, b.RequestID = true, a.tag
	}
	return b
}

func (l *Load) client(a arrival) client.Client {
	return client.Client{BaseURL: a.entry, Key: l.Keys[a.team], HTTP: l.http}
}

func (l *Load) send(ctx context.Context, a arrival) {
	if a.workload.Tasks > 0 {
		l.sendJob(ctx, a)
		return
	}
	began := time.Now()
	resp, err := l.client(a).Submit(ctx, a.body())
	wait := max(0, time.Since(began)-a.workTime)
	r := Request{Tag: a.tag, SentAt: began, Ran: "done", Zone: a.zone, Wait: wait, EntryURL: a.entry, EndedAt: time.Now(), NonIdempotent: a.nonIdempotent}
	if err != nil {
		r.Code, r.Ran = l.countRefusal(err)
		r.ConnectionLost = r.Code == unreachable && !errors.Is(err, syscall.ECONNREFUSED)
	} else {
		r.Mismatch = !bytes.Contains(resp.Output, []byte(`"`+a.tag+`"`))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil {
		_ = l.waits[a.workload.Name].RecordValue(int64(max(wait, time.Microsecond)))
	}
	l.requests = append(l.requests, r)
}

// countRefusal counts a failed call and returns the code and the Ran value of its
// refusal, or unreachable and refusal.Unknown if there was no response.
func (l *Load) countRefusal(err error) (code, ran string) {
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
		l.countRefusal(err)
		return Job{}, false
	}
	j := Job{ID: id, Team: a.team, Tag: a.tag, EntryURL: a.entry, Zone: a.zone, Tasks: a.workload.Tasks}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs = append(l.jobs, j)
	return j, true
}

func withoutDeadline(b gateway.SubmitBody) gateway.SubmitBody {
	b.DeadlineMillis = 0
	return b
}

// fillQueues starts one sender per team and zone that keeps the team's queue
// filled with batch jobs.
func (l *Load) fillQueues(ctx context.Context, w deployment.Workload, senders *sync.WaitGroup) {
	for z, zone := range l.Deployment.Zones {
		for t, team := range l.Deployment.Teams {
			rng := rand.New(rand.NewPCG(l.Seed, uint64(1000*z+t+1000)))
			senders.Go(func() { l.fillTeamQueue(ctx, w, zone, team.Name, rng) })
		}
	}
}

// fillTeamQueue submits a job whenever fewer than openJobsPerTeam jobs are open,
// until ctx is done.
func (l *Load) fillTeamQueue(ctx context.Context, w deployment.Workload, zone, team string, rng *rand.Rand) {
	var openJobs []Job
	for range maxRoundsPerTeam {
		if ctx.Err() != nil {
			return
		}
		if len(openJobs) < openJobsPerTeam {
			a := l.drawArrival(w, rng)
			a.zone, a.team = zone, team
			entries := l.EntryURLs[zone]
			a.entry = entries[rng.IntN(len(entries))]
			if j, ok := l.sendJob(context.WithoutCancel(ctx), a); ok {
				openJobs = append(openJobs, j)
				continue
			}
		}
		pause.Sleep(ctx, jobPollInterval)
		kept := openJobs[:0]
		for _, j := range openJobs {
			if st, err := l.readJob(ctx, j); err != nil || st.Counts[job.Waiting] > j.Tasks/2 {
				kept = append(kept, j)
			}
		}
		openJobs = kept
	}
}

// readJob queries the entry hosts of the job's zone until one of them returns its
// status.
func (l *Load) readJob(ctx context.Context, j Job) (job.Status, error) {
	var st job.Status
	err := errors.New("zone has no entry host")
	for _, entry := range l.EntryURLs[j.Zone] {
		c := client.Client{BaseURL: entry, Key: l.Keys[j.Team], HTTP: l.http}
		if st, err = c.Job(ctx, j.ID); err == nil {
			return st, nil
		}
	}
	return st, err
}

// WaitAll waits for all outstanding responses, and then until every accepted job
// has ended or ctx is done.
func (l *Load) WaitAll(ctx context.Context) {
	l.wg.Wait()
	for ctx.Err() == nil {
		unfinished := 0
		for i := range l.jobs {
			j := &l.jobs[i]
			if j.State == job.Done {
				continue
			}
			if st, err := l.readJob(ctx, *j); err == nil {
				j.State = st.State
			} else {
				j.Err = err.Error()
			}
			if j.State == "" || j.State == job.Waiting {
				unfinished++
			}
		}
		if unfinished == 0 {
			return
		}
		pause.Sleep(ctx, jobPollInterval)
	}
}

// Result returns the outcomes. Call it after WaitAll.
func (l *Load) Result() Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Result{Waits: l.waits, Sent: l.sent, Codes: l.codes, Jobs: l.jobs, Requests: l.requests}
}
