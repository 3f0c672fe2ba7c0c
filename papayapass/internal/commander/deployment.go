package commander

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"papayapass.dev/papayapass/internal/participant"
	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/shared/descriptor"
)

// deploymentTimeout is the total time-out of a command's calls to the store.
const deploymentTimeout = 5 * time.Second

func newDeploymentCommand() *cobra.Command {
	var address string
	cmd := &cobra.Command{
		Use:   "deployment",
		Short: "Show a deployment's coordinator, nodes, configuration and zones out of service, from its store",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := context.WithTimeout(cmd.Context(), deploymentTimeout)
			defer cancel()
			a := adapter()
			return showDeployment(ctx, cmd.OutOrStdout(), a.Store(address, http.DefaultTransport), a.StoreLayout)
		},
	}
	cmd.PersistentFlags().StringVar(&address, "store", "127.0.0.1:8142", "address of the deployment's store")
	cmd.AddCommand(newDeploymentOwnerCommand(&address), newDeploymentCheckCommand())
	return cmd
}

func newDeploymentOwnerCommand(address *string) *cobra.Command {
	return &cobra.Command{
		Use:   "owner SERVICE KEY",
		Short: "Show which backend server of a deployment owns a key, from 0 to 65535",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			key, err := strconv.ParseUint(args[1], 10, 16)
			if err != nil {
				return errors.Mark(errors.Newf("key %q is not a number from 0 to 65535", args[1]), errUsage)
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), deploymentTimeout)
			defer cancel()
			return showOwner(ctx, cmd.OutOrStdout(), adapter().Store(*address, http.DefaultTransport), args[0], uint16(key))
		},
	}
}

func showOwner(ctx context.Context, w io.Writer, s participant.Store, service string, key uint16) error {
	t, err := participant.ReadTable(ctx, s)
	if err != nil {
		return errors.Wrap(err, "read the ownership table")
	}
	r, ok := t.Range(service, key)
	if !ok {
		return errors.Mark(errors.Newf("service %q has no keys", service), errUsage)
	}
	owner := "nobody"
	if r.Owner != "" {
		owner = fmt.Sprintf("%s  server %s", r.Owner, r.Server)
	}
	next := ""
	if r.NextOwner != "" {
		next = fmt.Sprintf("  moving to %s", r.NextOwner)
	}
	_, err = fmt.Fprintf(w, "owner %s  token %d  keys %d to %d%s\n", owner, r.Token, r.First, r.Last, next)
	return err
}

func showDeployment(ctx context.Context, w io.Writer, s participant.Store, objects participant.StoreLayout) error {
	t, err := participant.ReadTable(ctx, s)
	if err != nil {
		return errors.Wrap(err, "read the ownership table")
	}
	version := "none"
	o, err := s.Get(ctx, objects.ConfigurationKind, objects.ConfigurationName)
	if err != nil && !errors.Is(err, descriptor.ErrNotFound) {
		return errors.Wrap(err, "read the configuration")
	}
	if err == nil {
		cfg, err := objects.Decode(o.Spec)
		if err != nil {
			return err
		}
		version = fmt.Sprintf("%d, %d routes", cfg.Version, len(cfg.Routes))
	}
	zonesOut, err := s.List(ctx, objects.ZonesOutKind)
	if err != nil {
		return errors.Wrap(err, "read the zones out of service")
	}
	var zones []string
	for _, z := range zonesOut.Objects {
		zones = append(zones, z.Name)
	}
	return writeDeployment(w, t, version, zones)
}

func writeDeployment(w io.Writer, t *partitioner.Table, configuration string, zonesOut []string) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tw, "coordinator\t%s, epoch %d, table %d\n", t.Coordinator, t.Epoch, t.Version)
	fmt.Fprintf(tw, "configuration\t%s\n", configuration)
	fmt.Fprintf(tw, "zones out\t%s\n\n", strings.Join(zonesOut, ", "))
	shards := make(map[partitioner.NodeID][]string)
	for _, s := range t.QuotaShards {
		shards[s.Owner] = append(shards[s.Owner], fmt.Sprintf("%d/%d", s.Group, s.Index))
	}
	fmt.Fprintln(tw, "NODE\tZONE\tSERVICE\tSERVER\tSTATE\tRANGES\tKEYS\tQUOTA SHARDS")
	for _, m := range t.Members {
		keys := 0
		owned := t.Owned(m.ID)
		for _, r := range owned {
			keys += int(r.Last) - int(r.First) + 1
		}
		state := "up"
		switch {
		case m.Server.Down || m.Server.ID == "":
			state = "down"
		case m.Server.Leaving:
			state = "leaving"
		}
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%s\n", m.ID, m.Zone, m.Server.Service, m.Server.ID, state, len(owned), keys, strings.Join(shards[m.ID], " "))
	}
	return tw.Flush()
}
