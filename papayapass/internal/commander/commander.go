// Package commander implements the command line of papayapass.
package commander

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"os/user"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"papayapass.dev/papayapass/internal/configurer"
	"papayapass.dev/papayapass/internal/editor"
	"papayapass.dev/papayapass/internal/explainer"
	"papayapass.dev/papayapass/internal/parser"
	"papayapass.dev/papayapass/internal/runner"
	"papayapass.dev/shared/storer"
)

// Version is the version that the command version prints.
const Version = "0.1.0"

// Exit codes; the help page exit-codes documents them.
const (
	exitDone      = 0
	exitFailed    = 1
	exitUsage     = 2
	exitConflict  = 3
	exitPending   = 4
	exitUncertain = 5
)

var (
	errUsage   = errors.New("usage")
	errPending = errors.New("accepted, but not in force on every node")
)

// Main runs the command line and returns the exit code.
func Main(args []string) int {
	root := newRoot()
	root.SetArgs(args)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := root.ExecuteContext(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, "papayapass:", err)
	}
	return exitCode(err)
}

func exitCode(err error) int {
	var settingsProblems configurer.Problems
	var rulesProblems parser.Problems
	switch {
	case err == nil:
		return exitDone
	case errors.Is(err, editor.ErrConflict):
		return exitConflict
	case errors.Is(err, editor.ErrUncertain):
		return exitUncertain
	case errors.Is(err, errPending):
		return exitPending
	case errors.Is(err, errUsage), errors.As(err, &settingsProblems), errors.As(err, &rulesProblems):
		return exitUsage
	default:
		return exitFailed
	}
}

// target holds the addresses that an operator's command connects to, and the author
// of its changes.
type target struct {
	platform string
	node     string
	author   string
}

func newRoot() *cobra.Command {
	t := &target{}
	root := &cobra.Command{
		Use:           "papayapass",
		Short:         "Route each request to the one backend server that owns its key",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	flags := root.PersistentFlags()
	flags.StringVar(&t.platform, "platform", envOr("PAPAYAPASS_PLATFORM_ADDRESS", "127.0.0.1:7000"), "address of the platform's object API")
	flags.StringVar(&t.node, "node", envOr("PAPAYAPASS_LISTEN_STATUS", "127.0.0.1:7003"), "status address of any node")
	flags.StringVar(&t.author, "author", defaultAuthor(), "name to record as the author of changes")
	root.AddCommand(
		newRunCommand(), newNodeCommand(), newDeploymentCommand(), newSettingsCommand(), newRulesCommand(t), newZoneCommand(t),
		newServerCommand(t), newStatusCommand(t), newOwnerCommand(t), newVersionCommand(),
	)
	root.SetHelpCommand(newHelpCommand(root))
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return errors.Mark(err, errUsage) })
	return root
}

func envOr(name, fallback string) string {
	if value := os.Getenv(name); value != "" {
		return value
	}
	return fallback
}

func defaultAuthor() string {
	u, err := user.Current()
	if err != nil {
		return "operator"
	}
	return u.Username
}

func (t *target) editor() *editor.Editor {
	return editor.NewEditor(storer.NewClient(t.platform), t.author)
}

func newRunCommand() *cobra.Command {
	var settings string
	var overrides []string
	cmd := &cobra.Command{
		Use:   "run",
		Short: "Run a node beside a backend server",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := configurer.Load(settings, overrides)
			if err != nil {
				return err
			}
			return runner.Run(cmd.Context(), s)
		},
	}
	cmd.Flags().StringVar(&settings, "settings", "", "settings file")
	cmd.Flags().StringArrayVar(&overrides, "set", nil, "setting as name=value, overrides file and environment")
	return cmd
}

func newSettingsCommand() *cobra.Command {
	var markdown bool
	cmd := &cobra.Command{
		Use:   "settings",
		Short: "List all settings of a node",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if markdown {
				return writeSettingsPage(cmd.OutOrStdout())
			}
			return writeSettings(cmd.OutOrStdout())
		},
	}
	cmd.Flags().BoolVar(&markdown, "markdown", false, "print the page docs/SETTINGS.md")
	return cmd
}

func writeSettingsPage(out io.Writer) error {
	_, err := fmt.Fprint(out, "# Settings\n\nWritten by `papayapass settings --markdown`. Flags (`--set name=value`) go before the\n"+
		"environment, and that before the file.\n\n| setting | environment | default | unit | meaning |\n| --- | --- | --- | --- | --- |\n")
	for _, o := range configurer.Options() {
		initial := "`" + o.Default() + "`"
		if o.Required() {
			initial = "(required)"
		}
		fmt.Fprintf(out, "| `%s` | `%s` | %s | %s | %s |\n", o.Name(), o.Environment(), initial, o.Unit(), o.Help())
	}
	return err
}

func writeSettings(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SETTING\tDEFAULT\tUNIT\tMEANING")
	for _, o := range configurer.Options() {
		initial := o.Default()
		if o.Required() {
			initial = "(required)"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", o.Name(), initial, o.Unit(), o.Help())
	}
	return w.Flush()
}

func newVersionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			fmt.Fprintln(cmd.OutOrStdout(), "papayapass", Version)
		},
	}
}

func newHelpCommand(root *cobra.Command) *cobra.Command {
	return &cobra.Command{
		Use:       "help [TOPIC or COMMAND]",
		Short:     "Help on a topic or a command",
		ValidArgs: explainer.Topics(),
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) == 0 {
				return root.Help()
			}
			if found, _, err := root.Find(args); err == nil && found != root {
				return found.Help()
			}
			page, err := explainer.Page(args[0])
			if err != nil {
				return errors.Mark(err, errUsage)
			}
			fmt.Fprint(cmd.OutOrStdout(), page)
			return nil
		},
	}
}

// inForceTimeout is how long a command waits for an accepted configuration to be in
// force on all nodes.
const inForceTimeout = 4 * time.Second
