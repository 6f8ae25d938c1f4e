package command

import (
	"fmt"
	"os"

	"github.com/samber/oops"
	"github.com/spf13/cobra"

	"lycheelift.example/lib/checker"
	"lycheelift.example/lib/configurator"
	"lycheelift.example/lycheelift/templater"
	"lycheelift.example/schema/gen/settings/controld"
	"lycheelift.example/schema/gen/settings/entryd"
)

// Kinds of files that the settings commands support.
const (
	kindEntry         = "entryd"
	kindControl       = "controld"
	kindConfiguration = "configuration"
)

var schemas = map[string]checker.Schema{kindEntry: checker.Entry, kindControl: checker.Control, kindConfiguration: checker.Configuration}

// newSettings returns the commands that check settings files and print templates.
func newSettings(*shared) *cobra.Command {
	c := &cobra.Command{
		Use:     "settings",
		Short:   "Check settings files and print templates",
		Example: "  lycheelift settings check entryd entryd.toml\n  lycheelift settings template controld",
	}
	kinds := []string{kindEntry, kindControl, kindConfiguration}
	c.AddCommand(&cobra.Command{
		Use:       "check entryd|controld|configuration FILE",
		Short:     "Check a settings file (TOML) or a configuration document (JSON) and list every fault",
		Example:   "  lycheelift settings check entryd entryd.toml\n  lycheelift settings check configuration whole.json",
		Args:      arguments(cobra.ExactArgs(2)),
		ValidArgs: kinds,
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := checkFile(args[0], args[1]); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: no faults\n", args[1])
			return nil
		},
	}, &cobra.Command{
		Use:       "template entryd|controld|configuration",
		Short:     "Print every key with its default, unit and meaning",
		Example:   "  lycheelift settings template entryd > entryd.toml",
		Args:      arguments(cobra.ExactArgs(1)),
		ValidArgs: kinds,
		RunE: func(cmd *cobra.Command, args []string) error {
			schema, ok := schemas[args[0]]
			if !ok {
				return usageError("no settings are named %q; there are entryd, controld and configuration", args[0])
			}
			return oops.Wrap(templater.Write(cmd.OutOrStdout(), string(schema)))
		},
	})
	return c
}

func checkFile(kind, path string) error {
	switch kind {
	case kindEntry:
		_, err := checker.File[entryd.Entry](path, checker.Entry)
		return err
	case kindControl:
		_, err := checker.File[controld.Control](path, checker.Control)
		return err
	case kindConfiguration:
		data, err := os.ReadFile(path)
		if err != nil {
			return oops.Wrapf(err, "read the document")
		}
		_, err = configurator.Parse(data)
		return err
	default:
		return usageError("no settings are named %q; there are entryd, controld and configuration", kind)
	}
}
