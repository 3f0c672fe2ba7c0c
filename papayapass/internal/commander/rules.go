package commander

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"papayapass.dev/papayapass/internal/differ"
	"papayapass.dev/papayapass/internal/editor"
	"papayapass.dev/papayapass/internal/matcher"
	"papayapass.dev/papayapass/internal/parser"
)

func newRulesCommand(t *target) *cobra.Command {
	cmd := &cobra.Command{Use: "rules", Short: "Check, show and change the routing rules"}
	cmd.AddCommand(newRulesCheck(), newRulesDiff(t), newRulesApply(t), newRulesShow(t), newRulesTest())
	return cmd
}

func readRules(file string) (string, *matcher.RuleSet, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return "", nil, errors.Mark(errors.Wrap(err, "read rules"), errUsage)
	}
	rules, err := parser.Parse(file, string(text))
	return string(text), rules, err
}

func newRulesCheck() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a rules file, without a platform",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			_, rules, err := readRules(args[0])
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: %d rules, no mistakes\n", args[0], len(rules.Rules()))
			return nil
		},
	}
}

func newRulesDiff(t *target) *cobra.Command {
	return &cobra.Command{
		Use:   "diff FILE",
		Short: "Show what apply would change",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			text, _, err := readRules(args[0])
			if err != nil {
				return err
			}
			cfg, _, err := t.editor().Load(cmd.Context())
			if err != nil {
				return err
			}
			fmt.Fprint(cmd.OutOrStdout(), differ.Lines(cfg.GetRules(), text))
			return nil
		},
	}
}

func newRulesApply(t *target) *cobra.Command {
	var wait bool
	var base uint64
	cmd := &cobra.Command{
		Use:   "apply FILE",
		Short: "Put a rules file into force",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			text, _, err := readRules(args[0])
			if err != nil {
				return err
			}
			if !cmd.Flags().Changed("base") {
				cfg, _, err := t.editor().Load(cmd.Context())
				if err != nil {
					return err
				}
				base = cfg.GetVersion()
			}
			return apply(cmd.Context(), cmd.OutOrStdout(), t, text, base, wait)
		},
	}
	cmd.Flags().BoolVar(&wait, "wait", false, "wait until the rules are in force on each node")
	cmd.Flags().Uint64Var(&base, "base", 0, "version that the file is based on (default: the newest)")
	return cmd
}

func apply(ctx context.Context, out io.Writer, t *target, text string, base uint64, wait bool) error {
	version, err := t.editor().SetRules(ctx, text, base)
	if errors.Is(err, editor.ErrConflict) {
		if cfg, _, loadErr := t.editor().Load(ctx); loadErr == nil {
			fmt.Fprint(out, differ.Lines(cfg.GetRules(), text))
		}
	}
	if err != nil {
		return err
	}
	return report(ctx, out, t, version, wait)
}

// report prints that a change was accepted and, if wait is set, waits until it is in
// force.
func report(ctx context.Context, out io.Writer, t *target, version uint64, wait bool) error {
	fmt.Fprintf(out, "configuration %d accepted\n", version)
	if !wait {
		return nil
	}
	return waitInForce(ctx, out, t.node, version)
}

func newRulesShow(t *target) *cobra.Command {
	return &cobra.Command{
		Use:   "show",
		Short: "Print the rules in the platform",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg, _, err := t.editor().Load(cmd.Context())
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "# configuration %d by %s\n%s", cfg.GetVersion(), cfg.GetAuthor(), cfg.GetRules())
			return nil
		},
	}
}

// sampleRequest is a request from the command line to match against rules.
type sampleRequest struct {
	method  string
	uri     *fasthttp.URI
	headers map[string]string
}

// Method returns the HTTP method.
func (s sampleRequest) Method() []byte { return []byte(s.method) }

// Path returns the path of the URI.
func (s sampleRequest) Path() []byte { return s.uri.Path() }

// Host returns the host.
func (s sampleRequest) Host() []byte { return []byte(s.headers["host"]) }

// Header returns the value of a header, or empty.
func (s sampleRequest) Header(name string) []byte { return []byte(s.headers[strings.ToLower(name)]) }

// Query returns the value of a query parameter, or nil.
func (s sampleRequest) Query(name string) []byte { return s.uri.QueryArgs().Peek(name) }

func newRulesTest() *cobra.Command {
	var path, method string
	var headers []string
	cmd := &cobra.Command{
		Use:   "test FILE",
		Short: "Show which rule matches a request, and its key",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			_, rules, err := readRules(args[0])
			if err != nil {
				return err
			}
			s := sampleRequest{method: method, uri: &fasthttp.URI{}, headers: make(map[string]string)}
			if err := s.uri.Parse(nil, []byte(path)); err != nil {
				return errors.Mark(err, errUsage)
			}
			for _, h := range headers {
				name, value, _ := strings.Cut(h, ":")
				s.headers[strings.ToLower(name)] = strings.TrimSpace(value)
			}
			return writeMatch(cmd.OutOrStdout(), rules, s)
		},
	}
	cmd.Flags().StringVar(&path, "path", "/", "path and query of the request")
	cmd.Flags().StringVar(&method, "method", "GET", "method of the request")
	cmd.Flags().StringArrayVar(&headers, "header", nil, "header as Name:value")
	return cmd
}

func writeMatch(out io.Writer, rules *matcher.RuleSet, s sampleRequest) error {
	rule := rules.Match(s)
	if rule == nil {
		return errors.New("no rule matches the request")
	}
	key, ok := rule.ExtractKey(s)
	if !ok {
		return errors.Newf("line %d matches, but the request has no key", rule.Line())
	}
	fmt.Fprintf(out, "line %d: pool %s, key %q, class %s, deadline %s, idempotent %t, asked for by %s\n",
		rule.Line(), rule.Pool(), key, className(rule), rule.Deadline(), rule.Idempotent(s.method), rule.Requester())
	return nil
}

func className(r *matcher.Rule) string {
	return strings.ToLower(strings.TrimPrefix(r.Class().String(), "CLASS_"))
}
