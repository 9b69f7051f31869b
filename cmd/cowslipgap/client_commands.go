package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/user"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/cowslipgap/cowslipgap/client"
	"github.com/cowslipgap/cowslipgap/gateway"
	"github.com/cowslipgap/cowslipgap/job"
	"github.com/cowslipgap/cowslipgap/record"
	"github.com/cowslipgap/cowslipgap/resource"
)

const callTimeout = 30 * time.Second

// connectionFlags returns the flags of every command that calls an entry host,
// followed by the extra ones.
func connectionFlags(extra ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: "entry", Usage: "`URL` of an entry host", Value: "http://127.0.0.1:8080", Sources: cli.EnvVars("COWSLIPGAP_ENTRY")},
		&cli.StringFlag{Name: "key-file", Usage: "`FILE` with the key", Required: true, Sources: cli.EnvVars("COWSLIPGAP_KEY_FILE")},
		&cli.StringFlag{Name: "output", Usage: "table or json", Value: "table"},
	}, extra...)
}

// callAction returns an action that checks the number of arguments, calls an
// entry host with f and prints the result. usage names the arguments.
func callAction(argCount int, usage string, f func(ctx context.Context, c client.Client, cmd *cli.Command) (any, error)) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		if cmd.Args().Len() != argCount {
			return errors.Mark(errors.Newf("%s takes: %s", cmd.FullName(), usage), errUsage)
		}
		c, err := newClient(cmd)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		value, err := f(ctx, c, cmd)
		if err != nil {
			return err
		}
		return printValue(cmd.Root().Writer, cmd.String("output"), value)
	}
}

func newClient(cmd *cli.Command) (client.Client, error) {
	data, err := os.ReadFile(cmd.String("key-file"))
	if err != nil {
		return client.Client{}, errors.Mark(errors.Wrap(err, "read the key file (--key-file or COWSLIPGAP_KEY_FILE)"), errUsage)
	}
	c := client.Client{BaseURL: strings.TrimRight(cmd.String("entry"), "/"), Key: strings.TrimSpace(string(data))}
	if u, err := user.Current(); err == nil {
		c.Operator = u.Username
	}
	return c, nil
}

func recordCommand() *cli.Command {
	return &cli.Command{
		Name:  "record",
		Usage: "write, read and withdraw records: team, key, share, limit, queue, host",
		Commands: []*cli.Command{
			{
				Name: "put", Usage: "write a record", ArgsUsage: "KIND/NAME DATA (JSON, or - for standard input)",
				Flags: connectionFlags(
					&cli.IntFlag{Name: "schema", Value: 1, Usage: "schema version of the data"},
					&cli.Uint64Flag{Name: "revision", Usage: "the revision that the change is based on, 0 for a new record"},
				),
				Action: callAction(2, "KIND/NAME DATA", putRecord),
			},
			{Name: "get", Usage: "show a record and whether it is in effect on every host", ArgsUsage: "KIND/NAME", Flags: connectionFlags(), Action: callAction(1, "KIND/NAME", getRecord)},
			{
				Name: "list", Usage: "list records", Flags: connectionFlags(&cli.StringFlag{Name: "kind", Usage: "only this kind"}),
				Action: callAction(0, "no arguments", func(ctx context.Context, c client.Client, cmd *cli.Command) (any, error) {
					return c.Records(ctx, cmd.String("kind"))
				}),
			},
			{
				Name: "history", Usage: "show the changes of a record", ArgsUsage: "KIND/NAME", Flags: connectionFlags(),
				Action: callAction(1, "KIND/NAME", func(ctx context.Context, c client.Client, cmd *cli.Command) (any, error) {
					return c.Audit(ctx, cmd.Args().First())
				}),
			},
			{
				Name: "withdraw", Usage: "withdraw a record", ArgsUsage: "KIND/NAME",
				Flags:  connectionFlags(&cli.Uint64Flag{Name: "revision", Usage: "the revision that the withdrawal is based on", Required: true}),
				Action: callAction(1, "KIND/NAME", withdrawRecord),
			},
		},
	}
}

func putRecord(ctx context.Context, c client.Client, cmd *cli.Command) (any, error) {
	kind, name, err := record.ParseID(cmd.Args().Get(0))
	if err != nil {
		return nil, err
	}
	data := []byte(cmd.Args().Get(1))
	if string(data) == "-" {
		if data, err = io.ReadAll(os.Stdin); err != nil {
			return nil, errors.Wrap(err, "read standard input")
		}
	}
	if !json.Valid(data) {
		return nil, errors.Mark(errors.Newf("the data of %s/%s is not JSON", kind, name), errUsage)
	}
	return c.PutRecord(ctx, kind, name, gateway.RecordBody{Schema: cmd.Int("schema"), Revision: cmd.Uint64("revision"), Data: data})
}

func getRecord(ctx context.Context, c client.Client, cmd *cli.Command) (any, error) {
	kind, name, err := record.ParseID(cmd.Args().First())
	if err != nil {
		return nil, err
	}
	return c.GetRecord(ctx, kind, name)
}

func withdrawRecord(ctx context.Context, c client.Client, cmd *cli.Command) (any, error) {
	kind, name, err := record.ParseID(cmd.Args().First())
	if err != nil {
		return nil, err
	}
	return c.WithdrawRecord(ctx, kind, name, cmd.Uint64("revision"))
}

func jobCommand() *cli.Command {
	return &cli.Command{
		Name:  "job",
		Usage: "submit, show and cancel jobs, with a caller's key",
		Commands: []*cli.Command{
			{
				Name: "submit", Usage: "submit a job", ArgsUsage: "PAYLOAD (JSON)",
				Flags: connectionFlags(
					&cli.StringFlag{Name: "class", Value: "batch", Usage: "service, large, small, gang or batch"},
					&cli.IntFlag{Name: "tasks", Value: 1},
					&cli.Int64Flag{Name: "slots", Value: 1},
					&cli.Int64Flag{Name: "milli-cpu"},
					&cli.Int64Flag{Name: "memory-mb"},
					&cli.Int64Flag{Name: "accelerators"},
					&cli.StringFlag{Name: "queue"},
					&cli.StringFlag{Name: "request-id", Usage: "a repeated submission with the same ID is the same job"},
					&cli.BoolFlag{Name: "non-idempotent", Usage: "run each task at most once"},
					&cli.BoolFlag{Name: "urgent"},
				),
				Action: callAction(1, "PAYLOAD", submitJob),
			},
			{
				Name: "status", Usage: "show a job", ArgsUsage: "ID", Flags: connectionFlags(),
				Action: callAction(1, "ID", func(ctx context.Context, c client.Client, cmd *cli.Command) (any, error) {
					return c.Job(ctx, cmd.Args().First())
				}),
			},
			{
				Name: "list", Usage: "list the team's jobs", Flags: connectionFlags(),
				Action: callAction(0, "no arguments", func(ctx context.Context, c client.Client, _ *cli.Command) (any, error) {
					return c.Jobs(ctx)
				}),
			},
			{
				Name: "cancel", Usage: "cancel a job", ArgsUsage: "ID", Flags: connectionFlags(),
				Action: callAction(1, "ID", func(ctx context.Context, c client.Client, cmd *cli.Command) (any, error) {
					return c.CancelJob(ctx, cmd.Args().First())
				}),
			},
		},
	}
}

func submitJob(ctx context.Context, c client.Client, cmd *cli.Command) (any, error) {
	payload := json.RawMessage(cmd.Args().First())
	if !json.Valid(payload) {
		return nil, errors.Mark(errors.New("the payload is not JSON"), errUsage)
	}
	id, err := c.SubmitJob(ctx, gateway.SubmitBody{
		Class: cmd.String("class"), Tasks: cmd.Int("tasks"), Queue: cmd.String("queue"), RequestID: cmd.String("request-id"),
		NonIdempotent: cmd.Bool("non-idempotent"), Urgent: cmd.Bool("urgent"), Payload: payload,
		Need: resource.Vector{
			Slots: cmd.Int64("slots"), MilliCPU: cmd.Int64("milli-cpu"),
			MemoryMB: cmd.Int64("memory-mb"), Accelerators: cmd.Int64("accelerators"),
		},
	})
	return map[string]string{"id": id}, err
}

func hostCommand() *cli.Command {
	return &cli.Command{
		Name:  "host",
		Usage: "list hosts, and drain workers",
		Commands: []*cli.Command{
			{
				Name: "list", Usage: "list entry hosts and workers", Flags: connectionFlags(),
				Action: callAction(0, "no arguments", func(ctx context.Context, c client.Client, _ *cli.Command) (any, error) {
					return c.Hosts(ctx)
				}),
			},
			{
				Name: "drain", Usage: "stop sending new tasks to a worker", ArgsUsage: "NAME",
				Flags:  connectionFlags(&cli.BoolFlag{Name: "undo", Usage: "use the worker again"}),
				Action: callAction(1, "NAME", drainHost),
			},
		},
	}
}

// drainHost overwrites the worker's host record whatever its current revision
// is: if several operators drain or undo, the last one wins.
func drainHost(ctx context.Context, c client.Client, cmd *cli.Command) (any, error) {
	name := cmd.Args().First()
	list, err := c.Records(ctx, record.KindHost)
	if err != nil {
		return nil, err
	}
	body := gateway.RecordBody{Schema: 1}
	for _, r := range list {
		if r.Name == name {
			body.Revision = r.Revision
		}
	}
	if body.Data, err = json.Marshal(record.Host{Drain: !cmd.Bool("undo")}); err != nil {
		return nil, errors.Wrapf(err, "encode host %s", name)
	}
	return c.PutRecord(ctx, record.KindHost, name, body)
}

func auditCommand() *cli.Command {
	return &cli.Command{
		Name: "audit", Usage: "show who changed which record, oldest change first",
		Flags: connectionFlags(&cli.StringFlag{Name: "record", Usage: "only this `KIND/NAME`"}),
		Action: callAction(0, "no arguments", func(ctx context.Context, c client.Client, cmd *cli.Command) (any, error) {
			return c.Audit(ctx, cmd.String("record"))
		}),
	}
}

// printValue prints a value as JSON if output is "json", otherwise as a table.
func printValue(w io.Writer, output string, value any) error {
	if output == "json" {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	for _, row := range tableRows(value) {
		if _, err := fmt.Fprintln(t, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return t.Flush()
}

var (
	recordHeader = []string{"RECORD", "SCHEMA", "REVISION", "WITHDRAWN", "BY", "AT", "DATA"}
	jobHeader    = []string{"JOB", "TEAM", "CLASS", "STATE", "TASKS", "DONE", "ACCEPTED"}
)

func recordRow(r record.Record) []string {
	return []string{r.ID(), fmt.Sprint(r.Schema), fmt.Sprint(r.Revision), fmt.Sprint(r.Withdrawn), r.By, r.At.Format(time.RFC3339), string(r.Data)}
}

func jobRow(s job.Status) []string {
	return []string{s.ID, s.Team, string(s.Class), s.State, fmt.Sprint(s.Tasks), fmt.Sprint(s.Counts[job.Done]), s.Accepted.Format(time.RFC3339)}
}
