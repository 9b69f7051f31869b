// Command cowslipgap is the product: an entry host, and the tools of callers
// and operators.
//
// # Usage
//
//	cowslipgap demo --seconds 10
//	cowslipgap serve --config host.ini
//	cowslipgap record list
//
// Exit status: 0 done, 1 it failed or was refused, 2 the command line or the
// settings are wrong, 3 no answer from the entry host.
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

// never is longer than any shutdown; the HTTP library must not end the process.
const never = 1000 * time.Hour

// errUsage says that the command line is wrong.
var errUsage = errors.New("usage")

func main() {
	proc.SetTimeToForceQuit(never)
	err := newCommand().Run(context.Background(), os.Args)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "cowslipgap:", err)
	os.Exit(status(err))
}

func status(err error) int {
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
		Usage: "cluster scheduler for unlike workloads",
		Commands: []*cli.Command{
			serveCommand(), configCommand(), demoCommand(), recordCommand(), jobCommand(), hostCommand(), auditCommand(),
		},
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error {
			return errors.Mark(err, errUsage)
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
}
