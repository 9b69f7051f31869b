// Command cowslipgapd runs an entry host on the users' platform.
//
// # Usage
//
//	cowslipgapd serve
//	cowslipgapd check
//	cowslipgapd explain 5c0e7a21d94b36f8 host-a.log host-b.log
//
// Exit status: 0 on success, 1 if the command failed or found nothing, 2 if the
// command line or the settings are invalid.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/cowslipgap/cowslipgap/asynclog"
	"github.com/cowslipgap/cowslipgap/logquery"
	"github.com/cowslipgap/cowslipgap/platform"
)

// Exit statuses.
const (
	exitFailed = 1
	exitUsage  = 2
)

// logQueueLines is the number of log lines that may be queued for writing.
const logQueueLines = 8192

// errUsage marks errors in the command line.
var errUsage = errors.New("usage")

func main() {
	err := newCommand().Run(context.Background(), os.Args)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "cowslipgapd:", err)
	if errors.Is(err, errUsage) || errors.Is(err, platform.ErrSettings) {
		os.Exit(exitUsage)
	}
	os.Exit(exitFailed)
}

func newCommand() *cli.Command {
	return &cli.Command{
		Name:  "cowslipgapd",
		Usage: "entry host of the cluster scheduler on the users' platform",
		Commands: []*cli.Command{
			{Name: "serve", Usage: "run the entry host", Action: serve},
			{Name: "check", Usage: "check the settings file", Action: check},
			{Name: "explain", Usage: "show what was decided about a request, from the logs of several hosts", ArgsUsage: "ID LOG...", Action: explain},
		},
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error {
			return errors.Mark(err, errUsage)
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
}

func serve(ctx context.Context, _ *cli.Command) error {
	settings, err := platform.LoadSettings()
	if err != nil {
		return err
	}
	logWriter := asynclog.New(os.Stdout, logQueueLines)
	defer logWriter.Close()
	return platform.Run(ctx, settings, slog.New(slog.NewJSONHandler(logWriter, nil)))
}

func check(_ context.Context, c *cli.Command) error {
	settings, err := platform.LoadSettings()
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.Writer, "%s in %s: settings are usable\n", settings.Name, settings.Zone)
	return err
}

func explain(_ context.Context, c *cli.Command) error {
	args := c.Args().Slice()
	if len(args) < 2 {
		return errors.Mark(errors.New("explain needs an ID and at least one log file"), errUsage)
	}
	q := logquery.Query{ID: args[0]}
	for _, name := range args[1:] {
		if err := readLog(&q, name); err != nil {
			return err
		}
	}
	if q.Matches() == 0 {
		return errors.Newf("no log line mentions %s", q.ID)
	}
	return q.Print(c.Writer)
}

func readLog(q *logquery.Query, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer func() { _ = file.Close() }() // it is only read
	return q.Read(filepath.Base(path), file)
}
