package integration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcwire"

	"github.com/cowslipgap/cowslipgap/crowd"
	"github.com/cowslipgap/cowslipgap/footprint"
	"github.com/cowslipgap/cowslipgap/gateway"
	"github.com/cowslipgap/cowslipgap/resource"
)

const (
	// crowdMemory and crowdFiles are the limits of the hosts that a crowd calls.
	crowdMemory = 192 << 20
	crowdFiles  = 300
	// crowdBody is nearly the largest body that a host reads.
	crowdBody = 1000 << 10
	// settleTime is how long a host is watched after a crowd has sent its bytes.
	settleTime = 3 * time.Second
)

// restartWithFewFiles restarts a host as a process that may open crowdFiles descriptors.
func (f *fleet) restartWithFewFiles(h *entryHost) {
	f.t.Helper()
	require.NoError(f.t, h.cmd.Process.Kill())
	_ = h.cmd.Wait() // the error says that it was killed
	cmd := exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d; exec "$0" serve --config "$1"`, crowdFiles), filepath.Join(binaries, "cowslipgap"), h.settingsPath)
	log, err := os.Create(filepath.Join(f.t.TempDir(), h.name+".log"))
	require.NoError(f.t, err)
	cmd.Stderr = log
	require.NoError(f.t, cmd.Start())
	f.t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		if f.t.Failed() {
			data, _ := os.ReadFile(log.Name())
			f.t.Logf("%s:\n%.20000s", h.name, data)
		}
	})
	h.process = &process{f.t, cmd}
	f.waitReady(h)
}

// watch reads what a host holds until the returned function is called, which requires
// that the same process still runs and never held more than its limits.
func watch(t *testing.T, h *entryHost) func() {
	t.Helper()
	stop := footprint.Watch(h.cmd.Process.Pid)
	return func() {
		t.Helper()
		most, err := stop()
		require.NoError(t, err, "the process has ended")
		t.Logf("peak memory %.1f MB, %d descriptors", float64(most.PeakMemory)/(1<<20), most.Descriptors)
		require.Less(t, most.PeakMemory, int64(crowdMemory), "memory")
		require.Less(t, most.Descriptors, crowdFiles, "descriptors")
	}
}

// TestCrowdAtOwnInterfaceLeavesHostWithinItsLimits lets clients that do not behave call a port of a
// host. Their connections stay open until an ordinary request has been served.
func TestCrowdAtOwnInterfaceLeavesHostWithinItsLimits(t *testing.T) {
	head := func(lines string) string {
		return "POST /v1/requests HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer touring." + callerSecret + "\r\n" + lines
	}
	body := append([]byte(`{"class":"lookup","payload":"`), bytes.Repeat([]byte("x"), crowdBody)...)
	long := append([]byte(head(fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)+2))), body...)
	chunked := []byte(head("Transfer-Encoding: chunked\r\n\r\n"))
	for rest := body; len(rest) > 0; rest = rest[min(len(rest), 4096):] {
		n := min(len(rest), 4096)
		chunked = fmt.Appendf(chunked, "%x\r\n%s\r\n", n, rest[:n])
	}
	heads := []byte(head("Content-Length: 2\r\n"))
	for i := 0; len(heads) < 256<<10; i++ {
		heads = fmt.Appendf(heads, "%x:b\r\n", i)
	}
	list := "GET /debug/vars HTTP/1.1\r\nHost: a\r\n\r\n"
	callers := func(h *entryHost) string { return strings.TrimPrefix(h.url, "http://") }
	peers := func(h *entryHost) string { return h.peerProxy.Target }
	message := drpcwire.AppendFrame(nil, drpcwire.Frame{ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: drpcwire.KindInvoke, Done: true, Data: make([]byte, 3<<20)})
	message = message[:len(message)-1]
	for _, test := range []struct {
		name  string
		port  func(*entryHost) string
		crowd *crowd.Crowd
	}{
		{"unfinished bodies", callers, &crowd.Crowd{Conns: 200, Data: long}},
		{"whole bodies", callers, &crowd.Crowd{Conns: 200, Data: append(long[:len(long):len(long)], `"}`...), Read: true}},
		{"unfinished chunked bodies", callers, &crowd.Crowd{Conns: 200, Data: chunked}},
		{"unfinished heads", callers, &crowd.Crowd{Conns: 200, Data: heads}},
		{"silent connections", callers, &crowd.Crowd{Conns: 600}},
		{"idle connections", callers, &crowd.Crowd{Conns: 600, Data: []byte(list), Read: true}},
		{"unread answers", callers, &crowd.Crowd{Conns: 200, Data: []byte(strings.Repeat(list, 500))}},
		{"silent connections for entry hosts", peers, &crowd.Crowd{Conns: 600}},
		{"unfinished messages of entry hosts", peers, &crowd.Crowd{Conns: 100, Data: message}},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t, "cam-pho")
			f.addTeam("touring")
			h := f.hosts[0]
			f.restartWithFewFiles(h)
			requireWithinLimits := watch(t, h)
			c := test.crowd
			c.Addr = test.port(h)
			defer c.Close()
			c.Send()
			time.Sleep(settleTime)
			f.eventually("an ordinary request is served", func() bool {
				_, err := f.callerClient(h, "touring").Submit(t.Context(), lookupRequest())
				return err == nil
			})
			requireWithinLimits()
		})
	}
}

// TestAcceptedJobsAtOwnInterfaceLeaveHostWithinItsLimits submits many jobs with large payloads, and many of
// many tasks. An ordinary request is served beside those that were accepted.
func TestAcceptedJobsAtOwnInterfaceLeaveHostWithinItsLimits(t *testing.T) {
	for name, body := range map[string]gateway.SubmitBody{
		"payloads": {Class: "batch", Payload: json.RawMessage(`"` + strings.Repeat("x", crowdBody) + `"`), Need: resource.Vector{Slots: 1000}},
		"tasks":    {Class: "batch", Tasks: 100_000, Payload: json.RawMessage(`{}`), Need: resource.Vector{Slots: 1000}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, "cam-pho")
			f.addTeam("touring")
			h := f.hosts[0]
			file, err := os.OpenFile(h.settingsPath, os.O_APPEND|os.O_WRONLY, 0)
			require.NoError(t, err)
			_, err = file.WriteString("[bounds]\nmaxJobBytes = 33554432\n")
			require.NoError(t, err)
			require.NoError(t, file.Close())
			f.restartWithFewFiles(h)
			requireWithinLimits := watch(t, h)
			accepted := 0
			for range 300 {
				if _, err := f.callerClient(h, "touring").SubmitJob(t.Context(), body); err == nil {
					accepted++
				}
			}
			t.Logf("%d accepted", accepted)
			f.eventually("an ordinary request is served", func() bool {
				_, err := f.callerClient(h, "touring").Submit(t.Context(), lookupRequest())
				return err == nil
			})
			requireWithinLimits()
		})
	}
}
