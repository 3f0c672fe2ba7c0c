package commander

import (
	"github.com/spf13/cobra"

	"papayapass.dev/papayapass/internal/editor"
)

// editFunc returns the edit that takes a zone or backend server out of service, or
// back in.
type editFunc func(name string, out bool) editor.Edit

func newZoneCommand(t *target) *cobra.Command {
	return newOutOfServiceCommand(t, "zone", "Take an availability zone out of service or back in", editor.SetZone)
}

func newServerCommand(t *target) *cobra.Command {
	return newOutOfServiceCommand(t, "server", "Take a backend server out of service or back in", editor.SetServer)
}

func newOutOfServiceCommand(t *target, kind, short string, edit editFunc) *cobra.Command {
	cmd := &cobra.Command{Use: kind, Short: short}
	cmd.AddCommand(
		newEditCommand(t, "out NAME", "Send it no new requests, and hand its keys over", edit, true),
		newEditCommand(t, "in NAME", "Send it requests again", edit, false),
	)
	return cmd
}

func newEditCommand(t *target, use, short string, edit editFunc, out bool) *cobra.Command {
	var wait bool
	cmd := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			version, err := t.editor().Change(cmd.Context(), edit(args[0], out))
			if err != nil {
				return err
			}
			return report(cmd.Context(), cmd.OutOrStdout(), t, version, wait)
		},
	}
	cmd.Flags().BoolVar(&wait, "wait", false, "wait until the change is in force on each node")
	return cmd
}
