package integration

import (
	"encoding/json"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/cowslipgap/cowslipgap/faultproxy"
	"github.com/cowslipgap/cowslipgap/gateway"
	"github.com/cowslipgap/cowslipgap/record"
	"github.com/cowslipgap/cowslipgap/refusal"
)

// batchJob returns a batch job whose tasks take workMillis milliseconds each.
func batchJob(tasks int, workMillis string) gateway.SubmitBody {
	return gateway.SubmitBody{Class: "batch", Tasks: tasks, Payload: json.RawMessage(`{"workMillis":` + workMillis + `}`)}
}

// breakTable sets the fault of the simulated table, a JSON [standin.TableFault].
func (f *fleet) breakTable(fault string) {
	f.t.Helper()
	resp, err := http.Post(f.platform+"/admin/table", "application/json", strings.NewReader(fault))
	require.NoError(f.t, err)
	require.NoError(f.t, resp.Body.Close())
	require.Equal(f.t, http.StatusOK, resp.StatusCode)
}

// waitJob waits until the host reports the job and all its tasks as done.
func (f *fleet) waitJob(h *entryHost, id string, tasks int) {
	f.t.Helper()
	f.eventually("job "+id+" is done", func() bool {
		st, err := f.callerClient(h, "touring").Job(f.t.Context(), id)
		return err == nil && st.State == "done" && st.Counts["done"] == tasks
	})
}

// TestSiblingFinishesJobOfKilledHost kills the host that accepted a job with
// SIGKILL: its sibling finishes the job, and no task runs twice.
func TestSiblingFinishesJobOfKilledHost(t *testing.T) {
	f := newFleet(t, "cam-pho", "cam-pho")
	f.addTeam("touring")
	const tasks = 300
	id, err := f.callerClient(f.hosts[0], "touring").SubmitJob(t.Context(), batchJob(tasks, "100"))
	require.NoError(t, err)
	f.eventually("a quarter of the tasks is done", func() bool { return f.ledgerCounts().Done > tasks/4 })
	f.hosts[0].signal(syscall.SIGKILL)
	f.waitJob(f.hosts[1], id, tasks)
	c := f.ledgerCounts()
	require.Zero(t, c.RanTwice)
	require.Zero(t, c.OverCapacity)
	require.Equal(t, tasks, c.Done)
}

// TestTakeoverWithLostTableReplies kills a host while 30 percent of the table's
// write responses are lost: its sibling finishes all jobs, and no task runs twice.
func TestTakeoverWithLostTableReplies(t *testing.T) {
	f := newFleet(t, "cam-pho", "cam-pho")
	f.addTeam("touring")
	f.breakTable(`{"loseReplies":0.3}`)
	const jobs, tasks = 5, 20
	var ids []string
	for range jobs {
		id, err := f.callerClient(f.hosts[0], "touring").SubmitJob(t.Context(), batchJob(tasks, "200"))
		require.NoError(t, err)
		ids = append(ids, id)
	}
	f.hosts[0].signal(syscall.SIGKILL)
	for _, id := range ids {
		f.waitJob(f.hosts[1], id, tasks)
	}
	require.Zero(t, f.ledgerCounts().RanTwice)
}

// TestAcceptedWorkContinuesDuringTableOutage lets the table fail for longer than
// the leases: lookups and accepted work continue, and a new job is refused as not
// run.
func TestAcceptedWorkContinuesDuringTableOutage(t *testing.T) {
	f := newFleet(t, "cam-pho", "cam-pho")
	f.addTeam("touring")
	const tasks = 400
	id, err := f.callerClient(f.hosts[0], "touring").SubmitJob(t.Context(), batchJob(tasks, "2000"))
	require.NoError(t, err)
	f.breakTable(`{"outage":"refuse"}`)
	outageBegan := time.Now()
	for time.Since(outageBegan) < 15*time.Second {
		for _, h := range f.hosts {
			_, err := f.callerClient(h, "touring").Submit(t.Context(), lookupRequest())
			require.NoError(t, err)
		}
		time.Sleep(100 * time.Millisecond)
	}
	_, err = f.callerClient(f.hosts[0], "touring").SubmitJob(t.Context(), batchJob(1, "1"))
	var r *refusal.Refusal
	require.True(t, errors.As(err, &r), "%v", err)
	require.Equal(t, refusal.TableUnavailable, r.Code)
	require.Equal(t, refusal.NotRun, r.Ran)
	f.breakTable(`{}`)
	f.waitJob(f.hosts[0], id, tasks)
	require.Zero(t, f.ledgerCounts().RanTwice)
}

// TestIsolatedZoneServesItsCallers isolates a zone from the platform and from the
// other zone: it still serves its own callers. After the isolation ends, a job is
// accepted and no task has run twice.
func TestIsolatedZoneServesItsCallers(t *testing.T) {
	f := newFleet(t, "cam-pho", "minh-an")
	f.addTeam("touring")
	f.hosts[0].setIsolated(true)
	isolatedAt := time.Now()
	for time.Since(isolatedAt) < 12*time.Second {
		for _, h := range f.hosts {
			_, err := f.callerClient(h, "touring").Submit(t.Context(), lookupRequest())
			require.NoError(t, err)
		}
		time.Sleep(100 * time.Millisecond)
	}
	f.hosts[0].setIsolated(false)
	var id string
	f.eventually("the formerly isolated host accepts a job", func() bool {
		var err error
		id, err = f.callerClient(f.hosts[0], "touring").SubmitJob(t.Context(), batchJob(20, "10"))
		return err == nil
	})
	f.waitJob(f.hosts[1], id, 20)
	require.Zero(t, f.ledgerCounts().RanTwice)
}

// TestPausedHostEndsAfterTakeover stops a host with SIGSTOP for longer than its
// lease, so that its sibling takes over. When the host continues, it starts no
// task and exits.
func TestPausedHostEndsAfterTakeover(t *testing.T) {
	f := newFleet(t, "cam-pho", "cam-pho")
	f.addTeam("touring")
	const tasks = 600
	id, err := f.callerClient(f.hosts[0], "touring").SubmitJob(t.Context(), batchJob(tasks, "500"))
	require.NoError(t, err)
	f.eventually("an eighth of the tasks is done", func() bool { return f.ledgerCounts().Done > tasks/8 })
	f.hosts[0].signal(syscall.SIGSTOP)
	f.waitJob(f.hosts[1], id, tasks)
	f.hosts[0].signal(syscall.SIGCONT)
	require.Error(t, f.hosts[0].cmd.Wait(), "the host must exit because a sibling took over")
	c := f.ledgerCounts()
	require.Zero(t, c.RanTwice)
	require.Zero(t, c.OverCapacity)
}

// TestNonIdempotentRequestRunsAtMostOnce sends requests with the same ID to two
// hosts at the same time, while 30 percent of the table's write responses are
// lost.
func TestNonIdempotentRequestRunsAtMostOnce(t *testing.T) {
	f := newFleet(t, "cam-pho", "minh-an")
	f.addTeam("touring")
	f.breakTable(`{"loseReplies":0.3}`)
	for _, request := range []string{"bench-1", "bench-2", "bench-3", "bench-4"} {
		results := make(chan error, 2)
		for _, h := range f.hosts {
			go func() {
				_, err := f.callerClient(h, "touring").Submit(t.Context(), gateway.SubmitBody{
					Class: "small", NonIdempotent: true, RequestID: request, Payload: json.RawMessage(`{"workMillis":20}`),
				})
				results <- err
			}()
		}
		answered := 0
		for range 2 {
			var r *refusal.Refusal
			if err := <-results; err == nil {
				answered++
			} else if errors.As(err, &r) {
				require.Equal(t, refusal.Unknown, r.Ran, "%v", err)
			}
		}
		require.LessOrEqual(t, answered, 1)
	}
	c := f.ledgerCounts()
	require.Zero(t, c.RanTwice)
	require.LessOrEqual(t, c.Starts, 4)
}

// TestConcurrentRecordWritesConflict lets two operators change a record based on
// the same revision: one write succeeds, the other one is refused as a conflict.
func TestConcurrentRecordWritesConflict(t *testing.T) {
	f := newFleet(t, "cam-pho", "minh-an")
	f.putRecord(record.KindShare, "school", `{"weight":1}`)
	results := make(chan error, 2)
	for _, h := range f.hosts {
		go func() {
			body := gateway.RecordBody{Schema: 1, Revision: 1, Data: json.RawMessage(`{"weight":5}`)}
			_, err := f.operatorClient(h).PutRecord(t.Context(), record.KindShare, "school", body)
			results <- err
		}()
	}
	first, second := <-results, <-results
	if first != nil {
		first, second = second, first
	}
	require.NoError(t, first)
	var r *refusal.Refusal
	require.True(t, errors.As(second, &r), "%v", second)
	require.Equal(t, refusal.RevisionConflict, r.Code)
	entries, err := f.operatorClient(f.hosts[0]).Audit(t.Context(), "share/school")
	require.NoError(t, err)
	require.Len(t, entries, 2)
}

// TestRecordChangeStaysPendingWhileAHostIsIsolated isolates a host from the
// platform: a record change is reported as pending and waiting for that host. It
// is accepted after the isolation ends.
func TestRecordChangeStaysPendingWhileAHostIsIsolated(t *testing.T) {
	f := newFleet(t, "cam-pho", "minh-an")
	f.hosts[1].platformProxy.SetFault(faultproxy.Fault{DropRequests: true, DropReplies: true})
	f.putRecord(record.KindShare, "school", `{"weight":1}`)
	f.eventually("the connected host reports the change as pending", func() bool {
		s, err := f.operatorClient(f.hosts[0]).GetRecord(t.Context(), record.KindShare, "school")
		return err == nil && s.State == "pending" && len(s.WaitingFor) == 1 && s.WaitingFor[0] == f.hosts[1].name
	})
	f.hosts[1].platformProxy.SetFault(faultproxy.Fault{})
	f.waitAccepted(record.KindShare, "school")
}
