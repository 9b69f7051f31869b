package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"runtime/pprof"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/cowslipgap/cowslipgap/demo"
	"github.com/cowslipgap/cowslipgap/deployment"
)

// errViolation is returned if a demo lost work, ran work twice, exceeded a
// limit or violated another property in the report.
var errViolation = errors.New("work was lost, ran twice or exceeded a limit, or another property was violated")

const defaultDemoSeconds = 10

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a whole deployment in this process and print a report",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "deployment", Value: "giadan", Usage: "`NAME`: giadan or banksia"},
			&cli.IntFlag{Name: "seconds", Value: defaultDemoSeconds, Usage: "duration of the load"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "random seed of the load and the faults"},
			&cli.BoolFlag{Name: "faults", Usage: "inject faults while the load runs, drawn from the seed"},
			&cli.StringFlag{Name: "output", Value: "text", Usage: "text or json"},
			&cli.StringFlag{Name: "log", Value: "error", Usage: "log level"},
			&cli.StringFlag{Name: "cpu-profile", Usage: "write a CPU profile to `FILE`"},
		},
		Action: runDemo,
	}
}

func runDemo(ctx context.Context, cmd *cli.Command) error {
	dep, err := deployment.ByName(cmd.String("deployment"))
	if err != nil {
		return errors.Mark(err, errUsage)
	}
	seconds := cmd.Int("seconds")
	if seconds < 1 {
		return errors.Mark(errors.New("--seconds must be 1 or more"), errUsage)
	}
	d := demo.Demo{
		Deployment: dep, Length: time.Duration(seconds) * time.Second, Seed: cmd.Uint64("seed"),
		Faults: cmd.Bool("faults"), Log: newLogger(cmd.String("log")),
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if path := cmd.String("cpu-profile"); path != "" {
		file, err := os.Create(path)
		if err != nil {
			return errors.Wrap(err, "create the CPU profile")
		}
		defer func() { _ = file.Close() }()
		if err := pprof.StartCPUProfile(file); err != nil {
			return errors.Wrap(err, "start the CPU profile")
		}
		defer pprof.StopCPUProfile()
	}
	report, err := d.Run(ctx)
	if err != nil {
		return err
	}
	if err := printReport(cmd, report); err != nil {
		return err
	}
	if !report.Clean() {
		return errViolation
	}
	return nil
}

func printReport(cmd *cli.Command, report demo.Report) error {
	if cmd.String("output") != "json" {
		_, err := fmt.Fprint(cmd.Root().Writer, report)
		return err
	}
	encoder := json.NewEncoder(cmd.Root().Writer)
	encoder.SetIndent("", "  ")
	return encoder.Encode(report)
}
