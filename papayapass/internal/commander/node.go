package commander

import (
	"net/http"

	"github.com/spf13/cobra"

	"papayapass.dev/papayapass/internal/launcher"
	"papayapass.dev/papayapass/internal/participant"
	"papayapass.dev/platform"
)

func newNodeCommand() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "node",
		Short: "Run a node of a deployment beside one backend server",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return launcher.Run(cmd.Context(), path, adapter())
		},
	}
	cmd.Flags().StringVar(&path, "settings", "node.toml", "settings file of the deployment")
	return cmd
}

// adapter returns the functions, paths and codecs that connect the product to the
// users' platform.
func adapter() launcher.Adapter {
	kind, name := platform.ConfigurationObject()
	return launcher.Adapter{
		Store: func(address string, transport http.RoundTripper) participant.Store {
			return platform.NewStore(address, transport)
		},
		HeaderCodec: platform.HeaderCodec{},
		StoreLayout: participant.StoreLayout{
			ConfigurationKind: kind, ConfigurationName: name,
			ZonesOutKind: platform.ZonesOutKind(), Decode: platform.DecodeConfiguration,
		},
		GrantAPI: launcher.GrantAPI{
			GrantPath: platform.GrantPath, ReleasePath: platform.ReleasePath, HandoverHeader: platform.HeaderHandover, InstanceHeader: platform.HeaderInstance,
			EncodeGrant: platform.EncodeGrant, EncodeRelease: platform.EncodeRelease,
		},
		ReadyPath: platform.ReadyPath, HeartbeatPath: platform.HeartbeatPath,
		DecodeHeartbeat: platform.DecodeHeartbeat, DecodeLeave: platform.DecodeLeave,
		EncodeHeartbeatReply: platform.EncodeHeartbeatReply, MaxHeartbeatReplyBytes: platform.MaxHeartbeatReplyBytes, GrantBytes: platform.GrantBytes,
		SampleHeaders: platform.SampleHeaders(),
	}
}
