// Command cowslipgap runs an entry host and provides the command-line tools for
// callers and operators.
//
// # Usage
//
//	cowslipgap demo --seconds 10
//	cowslipgap serve --config host.ini
//	cowslipgap record list
//
// Exit status: 0 on success, 1 if the command failed or was refused, 2 if the
// command line or the settings are invalid, 3 if the entry host does not
// respond.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
	"github.com/zeromicro/go-zero/core/proc"

	"github.com/cowslipgap/cowslipgap/client"
	"github.com/cowslipgap/cowslipgap/record"
	"github.com/cowslipgap/cowslipgap/settings"
)

// Exit statuses.
const (
	exitFailed      = 1
	exitUsage       = 2
	exitUnreachable = 3
)

// forceQuitDelay is longer than any shutdown, so that the HTTP library
// (go-zero) never ends the process by itself.
const forceQuitDelay = 1000 * time.Hour

// errUsage marks errors in the command line.
var errUsage = errors.New("usage")

func main() {
	proc.SetTimeToForceQuit(forceQuitDelay)
	err := newCommand().Run(context.Background(), os.Args)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "cowslipgap:", err)
	os.Exit(exitStatus(err))
}

func exitStatus(err error) int {
	switch {
	case errors.Is(err, errUsage), errors.Is(err, settings.ErrInvalid), errors.Is(err, record.ErrInvalid):
		return exitUsage
	case errors.Is(err, client.ErrUnreachable):
		return exitUnreachable
	default:
		return exitFailed
	}
}

func newCommand() *cli.Command {
	return &cli.Command{
		Name:  "cowslipgap",
		Usage: "cluster scheduler for mixed workloads",
		Commands: []*cli.Command{
			serveCommand(), configCommand(), demoCommand(), recordCommand(), jobCommand(), hostCommand(), auditCommand(),
		},
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error {
			return errors.Mark(err, errUsage)
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
}
