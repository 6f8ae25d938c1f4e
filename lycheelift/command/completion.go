package command

import (
	"github.com/samber/oops"
	"github.com/spf13/cobra"
)

// newCompletion returns the command that prints the completion script of a shell.
func newCompletion() *cobra.Command {
	return &cobra.Command{
		Use:       "completion bash|zsh|fish",
		Short:     "Print the completion script of a shell",
		Example:   "  source <(lycheelift completion bash)",
		Args:      arguments(cobra.MatchAll(cobra.ExactArgs(1), cobra.OnlyValidArgs)),
		ValidArgs: []string{"bash", "zsh", "fish"},
		RunE: func(cmd *cobra.Command, args []string) error {
			w := cmd.OutOrStdout()
			switch args[0] {
			case "bash":
				return oops.Wrap(cmd.Root().GenBashCompletionV2(w, true))
			case "zsh":
				return oops.Wrap(cmd.Root().GenZshCompletion(w))
			default:
				return oops.Wrap(cmd.Root().GenFishCompletion(w, true))
			}
		},
	}
}
