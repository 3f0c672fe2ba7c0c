// Package commander implements the command line of the stand-ins.
package commander

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"papayapass.dev/standin/internal/orchestrator"
	"papayapass.dev/standin/internal/ringrouter"
	"papayapass.dev/standin/internal/storekeeper"
	"papayapass.dev/standin/internal/worker"
)

// Main runs the command line and returns the exit code.
func Main(args []string) int {
	root := &cobra.Command{Use: "standin", Short: "Stand-ins for the platform, backend servers and callers", SilenceUsage: true}
	root.AddCommand(newPlatformCommand(), newBackendCommand(), newDemoCommand(), newBenchCommand(), newPathCommand(), newNaiveCommand())
	root.SetArgs(args)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := root.ExecuteContext(ctx); err != nil {
		return 1
	}
	return 0
}

func newPlatformCommand() *cobra.Command {
	var listen string
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Serve the platform's object API from memory",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			listener, err := net.Listen("tcp", listen)
			if err != nil {
				return err
			}
			s := storekeeper.NewStorekeeper()
			context.AfterFunc(cmd.Context(), func() { _ = listener.Close() })
			return s.Serve(listener)
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:7000", "address to listen on")
	return cmd
}

func newBackendCommand() *cobra.Command {
	var s worker.Settings
	cmd := &cobra.Command{
		Use:   "backend",
		Short: "Run a backend server",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			w, err := worker.NewWorker(s)
			if err != nil {
				return err
			}
			return w.Run(cmd.Context())
		},
	}
	f := cmd.Flags()
	f.StringVar(&s.Name, "name", "backend-1", "name in journals")
	f.StringVar(&s.Pool, "pool", "pool", "name of the pool")
	f.StringVar(&s.Zone, "zone", "zone", "availability zone")
	f.StringVar(&s.ListenAddress, "listen", "127.0.0.1:7004", "address to listen on")
	f.StringVar(&s.NodeAddress, "announce", "127.0.0.1:7003", "status address of the local node")
	f.IntVar(&s.Slots, "slots", 20, "maximum concurrent requests")
	f.IntVar(&s.Connections, "connections", 100, "maximum connections")
	f.BoolVar(&s.Divided, "divided", true, "each key has one owner")
	f.BoolVar(&s.ChecksTokens, "checks-tokens", true, "refuse older fencing tokens")
	f.BoolVar(&s.Cold, "cold", false, "start cold: warm up before using all slots")
	f.DurationVar(&s.ServiceTime, "service-time", 5*time.Millisecond, "mean duration of a request")
	f.StringVar(&s.Journal, "journal", "", "file for the journal of executions; none if empty")
	f.Uint64Var(&s.Seed, "seed", 1, "seed of the service times")
	return cmd
}

func newBenchCommand() *cobra.Command {
	var programs, dir, only string
	var runs int
	var naive bool
	cmd := &cobra.Command{
		Use:   "bench",
		Short: "Measure a site under failures, scenario by scenario",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			p := orchestrator.Programs{Papayapass: filepath.Join(programs, "papayapass"), Standin: filepath.Join(programs, "standin")}
			return orchestrator.Bench(cmd.Context(), os.Stdout, p, dir, only, runs, naive)
		},
	}
	cmd.Flags().StringVar(&programs, "programs", "bin", "directory of the two programs")
	cmd.Flags().StringVar(&dir, "out", "out/bench", "directory for logs and journals; it is emptied first")
	cmd.Flags().StringVar(&only, "only", "", "run only scenarios whose names start with this text")
	cmd.Flags().IntVar(&runs, "runs", 1, "runs of each scenario")
	cmd.Flags().BoolVar(&naive, "naive", false, "run the naive router after papayapass, in scenarios that apply to it")
	return cmd
}

func newNaiveCommand() *cobra.Command {
	var listen string
	var routes []string
	cmd := &cobra.Command{
		Use:   "naive",
		Short: "Run the naive router that papayapass is measured against",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			parsed, err := orchestrator.ParseRoutes(routes)
			if err != nil {
				return err
			}
			listener, err := net.Listen("tcp", listen)
			if err != nil {
				return err
			}
			context.AfterFunc(cmd.Context(), func() { _ = listener.Close() })
			return ringrouter.NewRingRouter(parsed).Serve(listener)
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:7001", "address to listen on")
	cmd.Flags().StringArrayVar(&routes, "route", nil, "PREFIX|keyed or any|CONNECTIONS|ADDRESS,ADDRESS")
	return cmd
}

func newPathCommand() *cobra.Command {
	var programs, dir string
	cmd := &cobra.Command{
		Use:   "path",
		Short: "Measure what one and two hops cost against a direct call",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			p := orchestrator.Programs{Papayapass: filepath.Join(programs, "papayapass"), Standin: filepath.Join(programs, "standin")}
			return orchestrator.MeasurePath(cmd.Context(), os.Stdout, p, dir)
		},
	}
	cmd.Flags().StringVar(&programs, "programs", "bin", "directory of the two programs")
	cmd.Flags().StringVar(&dir, "out", "out/path", "directory for logs; it is emptied first")
	return cmd
}

func newDemoCommand() *cobra.Command {
	var site, programs, dir string
	var length time.Duration
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run a site on loopback under load while a zone leaves and an instance is lost",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := orchestrator.FindSite(site)
			if err != nil {
				return err
			}
			p := orchestrator.Programs{Papayapass: filepath.Join(programs, "papayapass"), Standin: filepath.Join(programs, "standin")}
			c, err := orchestrator.NewCluster(s, p, dir)
			if err != nil {
				return err
			}
			outcome, err := orchestrator.Run(cmd.Context(), os.Stdout, c, orchestrator.DemoLoad(s, length), orchestrator.DemoSteps(s))
			if err != nil {
				return err
			}
			if err := outcome.Print(os.Stdout); err != nil {
				return err
			}
			fmt.Println("all promises kept")
			return nil
		},
	}
	cmd.Flags().StringVar(&site, "site", "luzon", "luzon or nordeste")
	cmd.Flags().StringVar(&programs, "programs", "bin", "directory of the two programs")
	cmd.Flags().StringVar(&dir, "out", "out/demo", "directory for logs and journals; it is emptied first")
	cmd.Flags().DurationVar(&length, "length", 28*time.Second, "duration of the load")
	return cmd
}
