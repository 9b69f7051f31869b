// Command standin runs a simulated platform with its workers on loopback, for
// trying out the product. docs/PLATFORM.md describes its protocol.
//
// # Usage
//
//	standin --listen 127.0.0.1:7000 --deployment giadan
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/cowslipgap/cowslipgap/deployment"
	"github.com/cowslipgap/cowslipgap/standin"
)

// defaultLag is the default delay of the list of workers and of usage reports.
const defaultLag = 2 * time.Second

func main() {
	cmd := &cli.Command{
		Name:  "standin",
		Usage: "simulate the platform and its workers",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:7000", Usage: "`ADDR` of the platform"},
			&cli.StringFlag{Name: "deployment", Value: "giadan", Usage: "`NAME`: giadan or banksia"},
			&cli.DurationFlag{Name: "lag", Value: defaultLag, Usage: "delay of the list of workers and of usage reports"},
		},
		Action: run,
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func run(_ context.Context, cmd *cli.Command) error {
	d, err := deployment.ByName(cmd.String("deployment"))
	if err != nil {
		return err
	}
	lag := cmd.Duration("lag")
	s := standin.Standin{
		Zones: d.Zones, WorkersPerZone: d.WorkersPerZone, WorkersPerRack: d.WorkersPerRack,
		WorkerCapacity: d.WorkerCapacity, MaxConnections: d.Connections, WorkerListLag: lag, UsageLag: lag,
	}
	if err := s.Start(cmd.String("listen")); err != nil {
		return err
	}
	defer s.Close()
	fmt.Println("serving", s.URL())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	return nil
}
