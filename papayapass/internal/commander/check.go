package commander

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"papayapass.dev/papayapass/internal/checker"
	"papayapass.dev/shared/descriptor"
)

// checkReport is the outcome of the check of a configuration.
type checkReport struct {
	Version  uint64            `json:"version"`
	Findings []checker.Finding `json:"findings"`
	// Changes is nil if there is nothing to compare with.
	Changes []checker.Change `json:"changes"`
}

func newDeploymentCheckCommand() *cobra.Command {
	var against string
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a deployment's configuration, and show what it changes, without a store",
		Args: func(cmd *cobra.Command, args []string) error {
			return errors.Mark(cobra.ExactArgs(1)(cmd, args), errUsage)
		},
		RunE: func(cmd *cobra.Command, args []string) error {
			decode := adapter().StoreLayout.Decode
			cfg, err := readConfiguration(args[0], decode)
			if err != nil {
				return err
			}
			var old *descriptor.Configuration
			if against != "" {
				if old, err = readConfiguration(against, decode); err != nil {
					return err
				}
			}
			return writeCheck(cmd.OutOrStdout(), newCheckReport(cfg, old), asJSON)
		},
	}
	cmd.Flags().StringVar(&against, "against", "", "file of the configuration in force, to compare with")
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}

func readConfiguration(file string, decode func([]byte) (*descriptor.Configuration, error)) (*descriptor.Configuration, error) {
	spec, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "read the configuration"), errUsage)
	}
	cfg, err := decode(spec)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "file %s", file), errUsage)
	}
	return cfg, nil
}

// newCheckReport checks a configuration, and compares it with an old one unless that is nil.
func newCheckReport(cfg, old *descriptor.Configuration) checkReport {
	r := checkReport{Version: cfg.Version, Findings: []checker.Finding{}}
	if old != nil {
		r.Findings = append(r.Findings, checker.CheckVersion(old, cfg)...)
		r.Changes = checker.Difference(old, cfg)
	}
	r.Findings = append(r.Findings, checker.Check(cfg)...)
	return r
}

func writeCheck(w io.Writer, r checkReport, asJSON bool) error {
	if asJSON {
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		if err := e.Encode(r); err != nil {
			return errors.Wrap(err, "write the findings")
		}
	} else if err := writeCheckText(w, r); err != nil {
		return errors.Wrap(err, "write the findings")
	}
	if checker.HasErrors(r.Findings) {
		return errors.Newf("configuration %d has errors", r.Version)
	}
	return nil
}

func writeCheckText(w io.Writer, r checkReport) error {
	for _, f := range r.Findings {
		if _, err := fmt.Fprintf(w, "%s: %s: %s\n", f.Severity, f.Place, f.Reason); err != nil {
			return err
		}
	}
	for _, c := range r.Changes {
		if _, err := fmt.Fprintf(w, "change: %s: %s\n", c.Place, c.Change); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "configuration %d: %d findings, %d changes\n", r.Version, len(r.Findings), len(r.Changes))
	return err
}
