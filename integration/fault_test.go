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

func batch(tasks int, millis string) gateway.Body {
	return gateway.Body{Class: "batch", Tasks: tasks, Payload: json.RawMessage(`{"workMillis":` + millis + `}`)}
}

// breakTable makes the stand-in's table misbehave.
func (f *fleet) breakTable(fault string) {
	f.t.Helper()
	resp, err := http.Post(f.platform+"/admin/table", "application/json", strings.NewReader(fault))
	require.NoError(f.t, err)
	require.NoError(f.t, resp.Body.Close())
	require.Equal(f.t, http.StatusOK, resp.StatusCode)
}

// waitJob waits until a job is done, as read from a host.
func (f *fleet) waitJob(h *entryHost, id string, tasks int) {
	f.t.Helper()
	f.eventually("job "+id+" is done", func() bool {
		st, err := f.caller(h, "touring").Job(f.t.Context(), id)
		return err == nil && st.State == "done" && st.Counts["done"] == tasks
	})
}

// TestKilledHostsWorkGoesOn kills the host that accepted a job with -9: its
// sibling goes on, and nothing runs twice.
func TestKilledHostsWorkGoesOn(t *testing.T) {
	f := newFleet(t, "cam-pho", "cam-pho")
	f.addTeam("touring")
	const tasks = 300
	id, err := f.caller(f.hosts[0], "touring").SubmitJob(t.Context(), batch(tasks, "100"))
	require.NoError(t, err)
	f.eventually("a part is done", func() bool { return f.ledger().Done > tasks/4 })
	f.hosts[0].signal(syscall.SIGKILL)
	f.waitJob(f.hosts[1], id, tasks)
	c := f.ledger()
	require.Zero(t, c.Doubled)
	require.Zero(t, c.OverRoom)
	require.Equal(t, tasks, c.Done)
}

// TestLostRepliesAndTakeover loses table replies while a host is killed.
func TestLostRepliesAndTakeover(t *testing.T) {
	f := newFleet(t, "cam-pho", "cam-pho")
	f.addTeam("touring")
	f.breakTable(`{"loseReplies":0.3}`)
	const jobs, tasks = 5, 20
	var ids []string
	for range jobs {
		id, err := f.caller(f.hosts[0], "touring").SubmitJob(t.Context(), batch(tasks, "200"))
		require.NoError(t, err)
		ids = append(ids, id)
	}
	f.hosts[0].signal(syscall.SIGKILL)
	for _, id := range ids {
		f.waitJob(f.hosts[1], id, tasks)
	}
	require.Zero(t, f.ledger().Doubled)
}

// TestTableOutage lets the table fail for longer than the leases: lookups and
// accepted work go on, and a new job is refused as not run.
func TestTableOutage(t *testing.T) {
	f := newFleet(t, "cam-pho", "cam-pho")
	f.addTeam("touring")
	const tasks = 400
	id, err := f.caller(f.hosts[0], "touring").SubmitJob(t.Context(), batch(tasks, "2000"))
	require.NoError(t, err)
	f.breakTable(`{"outage":"refuse"}`)
	outage := time.Now()
	for time.Since(outage) < 15*time.Second {
		for _, h := range f.hosts {
			_, err := f.caller(h, "touring").Submit(t.Context(), lookup())
			require.NoError(t, err)
		}
		time.Sleep(100 * time.Millisecond)
	}
	_, err = f.caller(f.hosts[0], "touring").SubmitJob(t.Context(), batch(1, "1"))
	var r *refusal.Refusal
	require.True(t, errors.As(err, &r), "%v", err)
	require.Equal(t, refusal.TableUnavailable, r.Code)
	require.Equal(t, refusal.NotRun, r.Ran)
	f.breakTable(`{}`)
	f.waitJob(f.hosts[0], id, tasks)
	require.Zero(t, f.ledger().Doubled)
}

// TestZoneCutOff cuts a zone off from the platform and from the other zone: it
// serves its own callers, and after healing nothing was doubled.
func TestZoneCutOff(t *testing.T) {
	f := newFleet(t, "cam-pho", "minh-an")
	f.addTeam("touring")
	f.hosts[0].cut(true)
	cut := time.Now()
	for time.Since(cut) < 12*time.Second {
		for _, h := range f.hosts {
			_, err := f.caller(h, "touring").Submit(t.Context(), lookup())
			require.NoError(t, err)
		}
		time.Sleep(100 * time.Millisecond)
	}
	f.hosts[0].cut(false)
	var id string
	f.eventually("the healed host accepts a job", func() bool {
		var err error
		id, err = f.caller(f.hosts[0], "touring").SubmitJob(t.Context(), batch(20, "10"))
		return err == nil
	})
	f.waitJob(f.hosts[1], id, 20)
	require.Zero(t, f.ledger().Doubled)
}

// TestPausedOwner stops a host with SIGSTOP for longer than its lease. Its
// sibling takes over; when it wakes it starts nothing and ends.
func TestPausedOwner(t *testing.T) {
	f := newFleet(t, "cam-pho", "cam-pho")
	f.addTeam("touring")
	const tasks = 600
	id, err := f.caller(f.hosts[0], "touring").SubmitJob(t.Context(), batch(tasks, "500"))
	require.NoError(t, err)
	f.eventually("a part is done", func() bool { return f.ledger().Done > tasks/8 })
	f.hosts[0].signal(syscall.SIGSTOP)
	f.waitJob(f.hosts[1], id, tasks)
	f.hosts[0].signal(syscall.SIGCONT)
	require.Error(t, f.hosts[0].cmd.Wait(), "it ends because it was taken over")
	c := f.ledger()
	require.Zero(t, c.Doubled)
	require.Zero(t, c.OverRoom)
}

// TestNonIdempotentRunsOnce sends the same request id to two hosts at once, with
// replies of the table lost.
func TestNonIdempotentRunsOnce(t *testing.T) {
	f := newFleet(t, "cam-pho", "minh-an")
	f.addTeam("touring")
	f.breakTable(`{"loseReplies":0.3}`)
	for _, request := range []string{"bench-1", "bench-2", "bench-3", "bench-4"} {
		results := make(chan error, 2)
		for _, h := range f.hosts {
			go func() {
				_, err := f.caller(h, "touring").Submit(t.Context(), gateway.Body{
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
	c := f.ledger()
	require.Zero(t, c.Doubled)
	require.LessOrEqual(t, c.Starts, 4)
}

// TestOperatorsRace lets two operators change one record from the same revision.
func TestOperatorsRace(t *testing.T) {
	f := newFleet(t, "cam-pho", "minh-an")
	f.put(record.KindShare, "school", `{"weight":1}`)
	results := make(chan error, 2)
	for _, h := range f.hosts {
		go func() {
			body := gateway.RecordBody{Schema: 1, Revision: 1, Data: json.RawMessage(`{"weight":5}`)}
			_, err := f.operator(h).PutRecord(t.Context(), record.KindShare, "school", body)
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
	entries, err := f.operator(f.hosts[0]).Audit(t.Context(), "share/school")
	require.NoError(t, err)
	require.Len(t, entries, 2)
}

// TestCutHostLeavesChangePending shows a change as pending while a host is cut
// off, names the host, and accepts it after healing.
func TestCutHostLeavesChangePending(t *testing.T) {
	f := newFleet(t, "cam-pho", "minh-an")
	f.hosts[1].table.Set(faultproxy.Fault{DropRequests: true, DropReplies: true})
	f.put(record.KindShare, "school", `{"weight":1}`)
	f.eventually("the connected host has taken it", func() bool {
		s, err := f.operator(f.hosts[0]).GetRecord(t.Context(), record.KindShare, "school")
		return err == nil && s.State == "pending" && len(s.WaitingFor) == 1 && s.WaitingFor[0] == f.hosts[1].name
	})
	f.hosts[1].table.Set(faultproxy.Fault{})
	f.waitAccepted(record.KindShare, "school")
}
