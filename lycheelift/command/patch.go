package command

import (
	"encoding/json"
	"os"
	"strings"

	"github.com/samber/oops"
	"github.com/spf13/cobra"

	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// newPatch returns the command that submits a change against a numbered version.
func newPatch(s *shared) *cobra.Command {
	p := &statev1.Patch{}
	var sets []string
	c := &cobra.Command{
		Use:   "patch [FILE]",
		Short: "Submit a JSON merge patch against a numbered version",
		Long: "Submit a JSON merge patch (RFC 7396), from a file, from --set flags or both.\n" +
			"The patch is checked whole and every fault is listed. Without --base it builds on the newest version.",
		Example: "  lycheelift patch change.json --base 7 --reason 'new host' --control 127.0.0.1:7400\n" +
			"  lycheelift patch --set services.desk.hedge=0.04 --dry --control 127.0.0.1:7400\n" +
			"  lycheelift patch --set hosts.entry-9=null --reason 'entry-9 is gone' --control 127.0.0.1:7400",
		Args: arguments(cobra.MaximumNArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			body, err := patchBody(args, sets)
			if err != nil {
				return err
			}
			p.Body = body
			result, err := s.submit(cmd.Context(), p)
			if err != nil {
				return err
			}
			return s.printVerdict(cmd.OutOrStdout(), p, result)
		},
	}
	addPatchFlags(c, p)
	c.Flags().BoolVar(&p.Dry, "dry", false, "decide the patch without applying it")
	c.Flags().StringArrayVar(&sets, "set", nil, "path=value; the value is JSON, or text when it is not JSON; null removes")
	return c
}

// patchBody builds the merge patch from the file and the --set flags. The flags take precedence.
func patchBody(args, sets []string) ([]byte, error) {
	if len(args) == 0 && len(sets) == 0 {
		return nil, usageError("give a FILE or at least one --set")
	}
	if len(sets) == 0 {
		body, err := os.ReadFile(args[0])
		return body, oops.Wrapf(err, "read the patch")
	}
	tree := make(map[string]any)
	if len(args) > 0 {
		body, err := os.ReadFile(args[0])
		if err != nil {
			return nil, oops.Wrapf(err, "read the patch")
		}
		if err := json.Unmarshal(body, &tree); err != nil {
			return nil, usageError("%s is not a JSON object: %s", args[0], err)
		}
	}
	for _, set := range sets {
		if err := assign(tree, set); err != nil {
			return nil, err
		}
	}
	out, err := json.Marshal(tree)
	return out, oops.Wrap(err)
}

// assign sets the value of one --set flag in the patch.
func assign(tree map[string]any, set string) error {
	path, text, ok := strings.Cut(set, "=")
	if !ok || path == "" {
		return usageError("--set must be path=value, not %q", set)
	}
	var value any
	if err := json.Unmarshal([]byte(text), &value); err != nil {
		value = text
	}
	keys := strings.Split(path, ".")
	for _, key := range keys[:len(keys)-1] {
		inner, ok := tree[key].(map[string]any)
		if !ok {
			inner = make(map[string]any)
			tree[key] = inner
		}
		tree = inner
	}
	tree[keys[len(keys)-1]] = value
	return nil
}
