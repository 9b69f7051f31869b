package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/cowslipgap/cowslipgap/host"
	"github.com/cowslipgap/cowslipgap/settings"
)

// errFenced says that a sibling has taken this host's work over.
var errFenced = errors.New("a sibling has taken over; start the host again")

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run an entry host",
		Flags: []cli.Flag{&cli.StringFlag{Name: "config", Usage: "settings `FILE`", Required: true}},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			s, err := settings.Load(cmd.String("config"))
			if err != nil {
				return err
			}
			return serve(ctx, s)
		},
	}
}

// serve runs an entry host until a signal. The first one makes it leave
// gracefully, the second ends it at once.
func serve(ctx context.Context, s settings.Settings) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	h := &host.Host{Settings: s, Log: newLogger(s.LogLevel)}
	if err := h.Start(ctx); err != nil {
		return err
	}
	select {
	case <-signals:
	case <-h.Fenced():
		h.Kill()
		return errFenced
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	h.Shutdown(ctx)
	return nil
}

func newLogger(level string) *slog.Logger {
	var l slog.Level
	_ = l.UnmarshalText([]byte(level)) // the settings have been checked
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: l}))
}

func configCommand() *cli.Command {
	return &cli.Command{
		Name:  "config",
		Usage: "check or show settings",
		Commands: []*cli.Command{
			{
				Name: "check", Usage: "say what is wrong with a settings file", ArgsUsage: "FILE",
				Action: func(_ context.Context, cmd *cli.Command) error {
					if _, err := loadArgument(cmd); err != nil {
						return err
					}
					_, err := fmt.Fprintln(cmd.Root().Writer, "ok")
					return err
				},
			},
			{
				Name: "show", Usage: "print the settings in force, defaults included", ArgsUsage: "FILE",
				Action: func(_ context.Context, cmd *cli.Command) error {
					s, err := loadArgument(cmd)
					if err != nil {
						return err
					}
					_, err = fmt.Fprint(cmd.Root().Writer, s)
					return err
				},
			},
		},
	}
}

func loadArgument(cmd *cli.Command) (settings.Settings, error) {
	if cmd.Args().Len() != 1 {
		return settings.Settings{}, errors.Mark(errors.Newf("%s takes one settings file", cmd.FullName()), errUsage)
	}
	return settings.Load(cmd.Args().First())
}
