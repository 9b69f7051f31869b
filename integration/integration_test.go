// Package integration tests real processes: a simulated platform and entry hosts,
// which are built once and used through their public interfaces.
package integration

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/cowslipgap/cowslipgap/client"
	"github.com/cowslipgap/cowslipgap/faultproxy"
	"github.com/cowslipgap/cowslipgap/freeport"
	"github.com/cowslipgap/cowslipgap/gateway"
	"github.com/cowslipgap/cowslipgap/record"
	"github.com/cowslipgap/cowslipgap/refusal"
	"github.com/cowslipgap/cowslipgap/standin"
)

const (
	operatorSecret = "integration-operator-key"
	peerSecret     = "integration-peer-key"
	callerSecret   = "integration-caller-secret"
	waitTimeout    = 30 * time.Second
)

// binaries is the directory of the programs under test.
var binaries string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "cowslipgap")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binaries = dir
	build := exec.Command("go", "build", "-o", dir, "github.com/cowslipgap/cowslipgap/cmd/...")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	status := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(status)
}

// process is a running program.
type process struct {
	t   *testing.T
	cmd *exec.Cmd
}

// startProcess starts a program and kills it at the end of the test. If the test
// failed, it prints the program's log.
func startProcess(t *testing.T, name string, args ...string) *process {
	t.Helper()
	cmd := exec.Command(filepath.Join(binaries, name), args...)
	log, err := os.Create(filepath.Join(t.TempDir(), name+".log"))
	require.NoError(t, err)
	cmd.Stderr = log
	out, err := cmd.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, cmd.Start())
	p := &process{t, cmd}
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		if t.Failed() {
			data, _ := os.ReadFile(log.Name())
			t.Logf("%s %v:\n%s", name, args, data)
		}
	})
	if name == "standin" {
		line, err := bufio.NewReader(out).ReadString('\n')
		require.NoError(t, err)
		require.Contains(t, line, "serving")
	}
	return p
}

func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	require.NoError(p.t, p.cmd.Process.Signal(s))
}

// fleet is a simulated platform with entry hosts.
type fleet struct {
	t        *testing.T
	platform string // URL
	dir      string // settings and key files
	hosts    []*entryHost
}

type entryHost struct {
	*process
	name, url     string
	settingsPath  string
	platformProxy *faultproxy.Proxy // between the host and the platform
	peerProxy     *faultproxy.Proxy // in front of the host's peer address
}

// setIsolated black-holes the connections between the host and the platform and
// those from other hosts, or restores them. Connections that the host opens to
// other hosts are not affected.
func (h *entryHost) setIsolated(isolated bool) {
	f := faultproxy.Fault{DropRequests: isolated, DropReplies: isolated}
	h.platformProxy.SetFault(f)
	h.peerProxy.SetFault(f)
}

func freeAddr(t *testing.T) string {
	t.Helper()
	port, err := freeport.Pick()
	require.NoError(t, err)
	return fmt.Sprintf("127.0.0.1:%d", port)
}

// newFleet starts a simulated platform with the deployment of Gia Đàn and one
// entry host for each element of zones.
func newFleet(t *testing.T, zones ...string) *fleet {
	t.Helper()
	f := &fleet{t: t, dir: t.TempDir()}
	addr := freeAddr(t)
	f.platform = "http://" + addr
	startProcess(t, "standin", "--listen", addr, "--deployment", "giadan")
	require.NoError(t, os.WriteFile(filepath.Join(f.dir, "operator.key"), []byte(operatorSecret), 0o600))
	require.NoError(t, os.WriteFile(filepath.Join(f.dir, "peer.key"), []byte(peerSecret), 0o600))
	for i, zone := range zones {
		f.addHost(fmt.Sprintf("%s-%d", zone, i), zone)
	}
	for _, h := range f.hosts {
		f.waitReady(h)
	}
	return f
}

func (f *fleet) addHost(name, zone string) *entryHost {
	f.t.Helper()
	httpAddr, peerAddr := freeAddr(f.t), freeAddr(f.t)
	platformProxy := f.startProxy(strings.TrimPrefix(f.platform, "http://"))
	peerProxy := f.startProxy(peerAddr)
	settingsPath := filepath.Join(f.dir, name+".ini")
	text := fmt.Sprintf("[host]\nname = %s\nzone = %s\nhttpAddr = %s\npeerAddr = %s\npeerAdvertise = %s\n[platform]\nurl = %s\n[keys]\noperatorKeyFile = %s\npeerKeyFile = %s\n",
		name, zone, httpAddr, peerAddr, peerProxy.Addr(), "http://"+platformProxy.Addr(), filepath.Join(f.dir, "operator.key"), filepath.Join(f.dir, "peer.key"))
	require.NoError(f.t, os.WriteFile(settingsPath, []byte(text), 0o600))
	h := &entryHost{name: name, url: "http://" + httpAddr, settingsPath: settingsPath, platformProxy: platformProxy, peerProxy: peerProxy}
	h.process = startProcess(f.t, "cowslipgap", "serve", "--config", settingsPath)
	f.hosts = append(f.hosts, h)
	return h
}

func (f *fleet) startProxy(target string) *faultproxy.Proxy {
	f.t.Helper()
	p := &faultproxy.Proxy{Target: target}
	require.NoError(f.t, p.Start())
	f.t.Cleanup(p.Close)
	return p
}

func (f *fleet) eventually(condition string, check func() bool) {
	f.t.Helper()
	require.Eventually(f.t, check, waitTimeout, 50*time.Millisecond, condition)
}

func (f *fleet) waitReady(h *entryHost) {
	f.t.Helper()
	f.eventually(h.name+" is ready", func() bool {
		resp, err := http.Get(h.url + "/readyz")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

func (f *fleet) operatorClient(h *entryHost) client.Client {
	return client.Client{BaseURL: h.url, Key: operatorSecret, Operator: "test"}
}

func (f *fleet) callerClient(h *entryHost, team string) client.Client {
	return client.Client{BaseURL: h.url, Key: team + "." + callerSecret}
}

func (f *fleet) putRecord(kind, name, data string) {
	f.t.Helper()
	_, err := f.operatorClient(f.hosts[0]).PutRecord(f.t.Context(), kind, name, gateway.RecordBody{Schema: 1, Data: json.RawMessage(data)})
	require.NoError(f.t, err)
}

// addTeam writes a team's key and waits until it is accepted.
func (f *fleet) addTeam(team string) {
	f.t.Helper()
	f.putRecord(record.KindKey, team, fmt.Sprintf(`{"team":%q,"secret":%q}`, team, callerSecret))
	f.waitAccepted(record.KindKey, team)
}

func (f *fleet) waitAccepted(kind, name string) {
	f.t.Helper()
	f.eventually(kind+"/"+name+" is accepted", func() bool {
		s, err := f.operatorClient(f.hosts[0]).GetRecord(f.t.Context(), kind, name)
		return err == nil && s.State == "accepted"
	})
}

func (f *fleet) ledgerCounts() standin.Counts {
	f.t.Helper()
	resp, err := http.Get(f.platform + "/admin/ledger")
	require.NoError(f.t, err)
	defer func() { _ = resp.Body.Close() }()
	var c standin.Counts
	require.NoError(f.t, json.NewDecoder(resp.Body).Decode(&c))
	return c
}

func lookupRequest() gateway.SubmitBody {
	return gateway.SubmitBody{Class: "lookup", DeadlineMillis: 20_000, Payload: json.RawMessage(`{"workMillis":5}`)}
}

// TestRequestsAndJobsRunAcrossZones sends requests to hosts of three zones. It
// submits the same job through two of them and reads its status from the third.
func TestRequestsAndJobsRunAcrossZones(t *testing.T) {
	f := newFleet(t, "cam-pho", "minh-an", "son-phong")
	f.addTeam("touring")
	for _, h := range f.hosts {
		resp, err := f.callerClient(h, "touring").Submit(t.Context(), lookupRequest())
		require.NoError(t, err)
		require.Contains(t, string(resp.Output), `"workMillis":5`)
	}
	body := gateway.SubmitBody{Class: "batch", Tasks: 20, RequestID: "nightly", Payload: json.RawMessage(`{"workMillis":20}`)}
	id, err := f.callerClient(f.hosts[0], "touring").SubmitJob(t.Context(), body)
	require.NoError(t, err)
	again, err := f.callerClient(f.hosts[1], "touring").SubmitJob(t.Context(), body)
	require.NoError(t, err)
	require.Equal(t, id, again, "a repeated submission must be the same job")
	f.eventually("the job is done, read from another zone", func() bool {
		st, err := f.callerClient(f.hosts[2], "touring").Job(t.Context(), id)
		return err == nil && st.State == "done" && st.Counts["done"] == 20
	})
	require.Equal(t, standin.Counts{Starts: 23, Done: 23}, f.ledgerCounts())
}

// TestWithdrawnKeyIsRefusedByEveryHost withdraws a key through one host and then
// uses it at every host.
func TestWithdrawnKeyIsRefusedByEveryHost(t *testing.T) {
	f := newFleet(t, "cam-pho", "minh-an", "son-phong")
	f.addTeam("school")
	_, err := f.operatorClient(f.hosts[1]).WithdrawRecord(t.Context(), record.KindKey, "school", 1)
	require.NoError(t, err)
	f.waitAccepted(record.KindKey, "school")
	for _, h := range f.hosts {
		_, err := f.callerClient(h, "school").Submit(t.Context(), lookupRequest())
		var r *refusal.Refusal
		require.ErrorAs(t, err, &r)
		require.Equal(t, refusal.KeyWithdrawn, r.Code)
		require.Equal(t, refusal.NotRun, r.Ran)
	}
	require.Zero(t, f.ledgerCounts().Starts)
}

// TestGracefulShutdownAbortsNoRequest shuts a host down under load: every request
// is answered, refused as not run, or not connected.
func TestGracefulShutdownAbortsNoRequest(t *testing.T) {
	f := newFleet(t, "cam-pho")
	f.addTeam("touring")
	h := f.hosts[0]
	const senders, requestsEach = 8, 20
	results := make(chan error, senders*requestsEach)
	for range senders {
		go func() {
			for range requestsEach {
				_, err := f.callerClient(h, "touring").Submit(context.Background(), gateway.SubmitBody{
					Class: "small", DeadlineMillis: 20_000, Payload: json.RawMessage(`{"workMillis":60}`),
				})
				results <- err
			}
		}()
	}
	answered, refused := 0, 0
	for i := range senders * requestsEach {
		if i == senders*requestsEach/4 {
			h.signal(syscall.SIGTERM)
		}
		err := <-results
		if err == nil {
			answered++
			continue
		}
		refused++
		var r *refusal.Refusal
		if errors.As(err, &r) {
			require.Equal(t, refusal.NotRun, r.Ran)
		} else {
			require.Contains(t, err.Error(), "connection refused", "a request was aborted")
		}
	}
	require.Positive(t, refused)
	require.NoError(t, h.cmd.Wait())
	c := f.ledgerCounts()
	require.Equal(t, answered, c.Done)
	require.Equal(t, answered, c.Starts)
}

// TestHostExitsOnInvalidSettings starts a host with invalid settings: it exits
// with status 2 and reports every error.
func TestHostExitsOnInvalidSettings(t *testing.T) {
	settingsPath := filepath.Join(t.TempDir(), "bad.ini")
	require.NoError(t, os.WriteFile(settingsPath, []byte("[host]\nname = A!\nspeed = 9\n"), 0o600))
	out, err := exec.Command(filepath.Join(binaries, "cowslipgap"), "serve", "--config", settingsPath).CombinedOutput()
	var exit *exec.ExitError
	require.ErrorAs(t, err, &exit)
	require.Equal(t, 2, exit.ExitCode())
	for _, part := range []string{`[host] name = "A!" is not allowed`, `[host] speed = "9" does not exist`, "[platform] url is missing"} {
		require.True(t, strings.Contains(string(out), part), "%s does not contain %s", out, part)
	}
}
