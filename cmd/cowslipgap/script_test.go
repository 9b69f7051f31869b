package main

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/cowslipgap/cowslipgap/deployment"
	"github.com/cowslipgap/cowslipgap/freeport"
	"github.com/cowslipgap/cowslipgap/standin"
)

const waitTimeout = 30 * time.Second

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"cowslipgap": main})
}

// TestScripts runs the scenarios in testdata. Each one has a simulated platform
// with the deployment of Gia Đàn, whose URL is in PLATFORM, and free addresses
// in A1 to A6.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata",
		Setup: setUp,
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"ready": waitReady, "eventually": eventually, "table": breakTable, "worker": setWorker,
		},
	})
}

type standinKey struct{}

func setUp(env *testscript.Env) error {
	d, err := deployment.ByName("giadan")
	if err != nil {
		return err
	}
	s := &standin.Standin{Zones: d.Zones, WorkersPerZone: d.WorkersPerZone, WorkersPerRack: d.WorkersPerRack}
	if err := s.Start("127.0.0.1:0"); err != nil {
		return err
	}
	env.Defer(s.Close)
	env.Values[standinKey{}] = s
	env.Setenv("PLATFORM", s.URL())
	for i := 1; i <= 6; i++ {
		port, err := freeport.Pick()
		if err != nil {
			return err
		}
		env.Setenv(fmt.Sprint("A", i), fmt.Sprintf("127.0.0.1:%d", port))
	}
	return nil
}

// waitReady implements "ready ADDR...": it waits until the entry hosts are ready.
func waitReady(ts *testscript.TestScript, _ bool, args []string) {
	for _, addr := range args {
		waitFor(ts, addr+" is not ready", func() bool {
			resp, err := http.Get("http://" + addr + "/readyz")
			if err != nil {
				return false
			}
			_ = resp.Body.Close()
			return resp.StatusCode == http.StatusOK
		})
	}
}

// eventually implements "eventually TEXT PROGRAM ARG...": it repeats a command
// until its output contains the text.
func eventually(ts *testscript.TestScript, _ bool, args []string) {
	waitFor(ts, fmt.Sprintf("%v does not print %q", args[1:], args[0]), func() bool {
		_ = ts.Exec(args[1], args[2:]...) // only the output counts
		return strings.Contains(ts.ReadFile("stdout")+ts.ReadFile("stderr"), args[0])
	})
}

// breakTable implements "table OUTAGE", where OUTAGE is "none", "refuse" or
// "hang".
func breakTable(ts *testscript.TestScript, _ bool, args []string) {
	outage := strings.TrimPrefix(args[0], "none")
	ts.Value(standinKey{}).(*standin.Standin).SetTableFault(standin.TableFault{Outage: outage})
}

// setWorker implements "worker NAME MODE"; see [standin.Standin.SetWorkerMode].
func setWorker(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(ts.Value(standinKey{}).(*standin.Standin).SetWorkerMode(args[0], args[1]))
}

func waitFor(ts *testscript.TestScript, failure string, check func() bool) {
	for deadline := time.Now().Add(waitTimeout); !check(); time.Sleep(100 * time.Millisecond) {
		if time.Now().After(deadline) {
			ts.Fatalf("%s", failure)
		}
	}
}
