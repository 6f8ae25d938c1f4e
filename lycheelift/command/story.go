package command

import (
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/samber/oops"
	"github.com/spf13/cobra"

	"lycheelift.example/lib/teller"
	operatorv1 "lycheelift.example/schema/gen/lycheelift/operator/v1"
)

// newStory returns the command that prints the log lines of one request.
func newStory(s *shared) *cobra.Command {
	return &cobra.Command{
		Use:   "story ID [FILE...]",
		Short: "Print what the logs of all hosts say of one request, in order of time",
		Long: "Print what the logs of all hosts say of one request, in order of time.\n\n" +
			"Each file is the log of one host and gives the host its name; without files, standard input is read.",
		Example: "  lycheelift story 69359d12be3696c2 /var/log/lycheelift/*.log\n" +
			"  lycheelift story 69359d12be3696c2 --output json < all.log",
		Args: arguments(cobra.MinimumNArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			lines, err := readLogs(cmd.InOrStdin(), args[0], args[1:])
			if err != nil {
				return err
			}
			out := &operatorv1.Story{Id: args[0]}
			for _, l := range lines {
				out.Lines = append(out.Lines, &operatorv1.StoryLine{Time: l.Time, Host: l.Log, Event: l.Event, Text: l.Text, Fields: l.Fields})
			}
			if len(lines) == 0 {
				return oops.Errorf("no line names the request %s; the id is that of one attempt of the caller, and lines are dropped while a host's log is not read", args[0])
			}
			return s.print(cmd.OutOrStdout(), out, func(w io.Writer) { printStory(w, out) })
		},
	}
}

// readLogs returns the lines of a request from all logs, ordered by time.
func readLogs(in io.Reader, id string, files []string) ([]teller.Line, error) {
	if len(files) == 0 {
		lines, err := teller.Extract("-", in, id)
		teller.SortByTime(lines)
		return lines, err
	}
	var out []teller.Line
	for _, path := range files {
		lines, err := readLog(path, id)
		if err != nil {
			return nil, err
		}
		out = append(out, lines...)
	}
	teller.SortByTime(out)
	return out, nil
}

func readLog(path, id string) ([]teller.Line, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, oops.Wrapf(err, "log")
	}
	defer func() { _ = f.Close() }()
	return teller.Extract(strings.TrimSuffix(filepath.Base(path), ".log"), f, id)
}

func printStory(w io.Writer, out *operatorv1.Story) {
	rows := [][]string{{"TIME", "HOST", "EVENT", "TEXT", "FIELDS"}}
	for _, l := range out.GetLines() {
		rows = append(rows, []string{l.GetTime(), l.GetHost(), strconv.FormatUint(uint64(l.GetEvent()), 10), l.GetText(), l.GetFields()})
	}
	table(w, rows)
}
