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

// errFenced is returned after a sibling has taken over this host's work.
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

// serve runs an entry host until SIGTERM or SIGINT. The first signal starts a
// graceful shutdown, the second one ends it at once.
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
	_ = l.UnmarshalText([]byte(level)) // the settings have been checked; an invalid --log means info
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: l}))
}

func configCommand() *cli.Command {
	return &cli.Command{
		Name:  "config",
		Usage: "check or show settings",
		Commands: []*cli.Command{
			{
				Name: "check", Usage: "check a settings file and print its errors", ArgsUsage: "FILE",
				Action: func(_ context.Context, cmd *cli.Command) error {
					if _, err := loadSettingsArg(cmd); err != nil {
						return err
					}
					_, err := fmt.Fprintln(cmd.Root().Writer, "ok")
					return err
				},
			},
			{
				Name: "show", Usage: "print the resulting settings, including defaults", ArgsUsage: "FILE",
				Action: func(_ context.Context, cmd *cli.Command) error {
					s, err := loadSettingsArg(cmd)
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

func loadSettingsArg(cmd *cli.Command) (settings.Settings, error) {
	if cmd.Args().Len() != 1 {
		return settings.Settings{}, errors.Mark(errors.Newf("%s takes one settings file", cmd.FullName()), errUsage)
	}
	return settings.Load(cmd.Args().First())
}
