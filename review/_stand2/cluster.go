package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cowslipgap/cowslipgap/platform/platformtest"
)

// readyTimeout bounds the wait for the entry hosts to be ready.
const readyTimeout = 20 * time.Second

// cluster is a small deployment: the project's stand-in of the platform and its workers in
// this process, and the project's daemons as processes of their own.
type cluster struct {
	platform platformtest.Platform
	hosts    []*host
	dir      string
	record   *record
	client   *http.Client
}

// host is one cowslipgapd process.
type host struct {
	name, front, ready, settings string
	cmd                          *exec.Cmd
	log                          *os.File
}

// record writes what was seen to record.txt, with the time since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, start: time.Now()}, err
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%7.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.file.WriteString(line)
	fmt.Print(line)
}

// startCluster starts the platform with its workers and the entry hosts, and waits until all
// hosts are ready.
func startCluster(r *record, workers, hosts int) (*cluster, error) {
	return startWatchedCluster(r, workers, hosts, nil)
}

// startWatchedCluster does the same with a watch in front of the workers, unless it is nil.
func startWatchedCluster(r *record, workers, hosts int, w *watch) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	c := &cluster{dir: dir, record: r, client: &http.Client{Timeout: platformtest.CallerTimeout}}
	c.platform.Workers = workers
	if w != nil {
		c.platform.ProxyAddr = w.proxyAddr
	}
	if err := c.platform.Start(); err != nil {
		return c, err
	}
	for i := range hosts {
		h, err := c.addHost(i)
		if err != nil {
			return c, err
		}
		if err := h.start(); err != nil {
			return c, err
		}
		c.hosts = append(c.hosts, h)
	}
	deadline := time.Now().Add(readyTimeout)
	for _, h := range c.hosts {
		for !c.isReady(h) {
			if time.Now().After(deadline) {
				return c, fmt.Errorf("%s is not ready", h.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	r.add("%d workers and %d entry hosts are ready", workers, hosts)
	return c, nil
}

// freePorts returns unused ports of the loopback address.
func freePorts(n int) ([]int, error) {
	var ports []int
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

func (c *cluster) addHost(i int) (*host, error) {
	ports, err := freePorts(4)
	if err != nil {
		return nil, err
	}
	h := &host{name: fmt.Sprintf("edge-%d", i), front: fmt.Sprintf("127.0.0.1:%d", ports[0]), ready: fmt.Sprintf("127.0.0.1:%d", ports[1])}
	h.settings = filepath.Join(c.dir, h.name+".conf")
	if err := os.WriteFile(h.settings, []byte(c.platform.Settings(h.name, ports[0], ports[1], ports[2], ports[3])), 0o600); err != nil {
		return nil, err
	}
	h.log, err = os.Create(filepath.Join(c.dir, h.name+".log"))
	return h, err
}

// start runs the command of the deploy file.
func (h *host) start() error {
	h.cmd = exec.Command("target/cowslipgapd", "serve")
	h.cmd.Env = append(os.Environ(), "COWSLIPGAP_BOOT="+h.settings)
	h.cmd.Stdout, h.cmd.Stderr = h.log, h.log
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return h.cmd.Start()
}

// kill ends the process at once and waits for its end.
func (h *host) kill() {
	_ = h.cmd.Process.Kill()
	_ = h.cmd.Wait()
}

func (c *cluster) isReady(h *host) bool {
	resp, err := c.client.Get("http://" + h.ready + "/-/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// close ends all processes, and removes the temporary folder unless KEEP is set.
func (c *cluster) close() {
	for _, h := range c.hosts {
		h.kill()
		_ = h.log.Close()
	}
	c.platform.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	} else {
		fmt.Println("logs are in", c.dir)
	}
}

// call sends a client's request and repeats it at the next host, as a client does, while there
// is no answer or the answer asks for a retry.
func (c *cluster) call(method, id, body string) (int, string) {
	status, answer := 0, ""
	for try := range 12 {
		h := c.hosts[try%len(c.hosts)]
		status, answer = platformtest.Call(c.client, method, h.front, platformtest.QueueHost, id, body)
		c.record.add("%s %s at %s: %d %s", method, id, h.name, status, strings.TrimSpace(answer))
		if status != 0 && status != http.StatusTooManyRequests && status < 500 {
			break
		}
		time.Sleep(time.Second)
	}
	return status, answer
}

// logLines records the lines of the hosts' logs that contain a text.
func (c *cluster) logLines(text string) {
	for _, h := range c.hosts {
		data, err := os.ReadFile(h.log.Name())
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(data)) {
			if strings.Contains(line, text) {
				c.record.add("log of %s: %s", h.name, strings.TrimSpace(line))
			}
		}
	}
}
