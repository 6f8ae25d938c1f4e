package command

import (
	"errors"
	"fmt"
	"io"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/samber/oops"
	"github.com/spf13/cobra"
	"google.golang.org/protobuf/types/known/durationpb"

	"lycheelift.example/fleetd/explainer"
	"lycheelift.example/lib/commander"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

// maxKeyBytes bounds the file that holds an API key.
const maxKeyBytes = 64 << 10

// explanation holds the flags of the explain command.
type explanation struct {
	hosts             []string
	method            string
	keyFile, bodyFile string
	deadline          time.Duration
	json              bool
}

// newExplain returns the command that prints where a request would be sent now.
func newExplain(path *string) *cobra.Command {
	var flags explanation
	out := &cobra.Command{
		Use: "explain URL", Short: "Print where entry hosts would send a request now, and why, without sending it",
		Long: "Print where entry hosts would send a request now, and why, without sending it.\n" +
			"The hosts are asked through their internal ports; without --hosts, the host of the settings file is asked.\n" +
			"The exit code is 4 if a host does not answer.",
		Example: "  fleetd explain http://gate.example/all/2f --key-file key.txt\n" +
			"  fleetd explain http://gate.example/all/2f --key-file - --hosts 127.0.0.1:7400,127.0.0.2:7400 --json < key.txt",
		Args: func(cmd *cobra.Command, args []string) error {
			if err := cobra.ExactArgs(1)(cmd, args); err != nil {
				return &commander.UsageError{Err: err}
			}
			return nil
		},
		RunE: func(cmd *cobra.Command, args []string) error { return flags.run(cmd, args[0], *path) },
	}
	f := out.Flags()
	f.StringSliceVar(&flags.hosts, "hosts", nil, "internal addresses of the entry hosts (IP:PORT), separated by commas")
	f.StringVar(&flags.method, "method", "GET", "method of the request")
	f.StringVar(&flags.keyFile, "key-file", "", "file with the API key, - for standard input")
	f.StringVar(&flags.bodyFile, "body-file", "", "file with the body of the request")
	f.DurationVar(&flags.deadline, "deadline", 0, "time for which the caller waits, 0 if it does not say so")
	f.BoolVar(&flags.json, "json", false, "print JSON")
	return out
}

func (e *explanation) run(cmd *cobra.Command, target, settingsPath string) error {
	request, err := e.request(target)
	if err != nil {
		return err
	}
	addresses, err := e.addresses(settingsPath)
	if err != nil {
		return err
	}
	key, err := readKey(e.keyFile, cmd.InOrStdin())
	if err != nil {
		return err
	}
	answers := explainer.Ask(cmd.Context(), addresses, request, key)
	if e.json {
		if err := explainer.WriteJSON(cmd.OutOrStdout(), answers); err != nil {
			return err
		}
	} else {
		explainer.WriteText(cmd.OutOrStdout(), answers)
	}
	for _, a := range answers {
		if a.Err != nil {
			return &commander.CodeError{Code: commander.ExitUnreachable, Err: fmt.Errorf("%s did not answer: %w", a.Address, a.Err)}
		}
	}
	return nil
}

var errTarget = errors.New("give the URL of the request as http://HOST/PATH, without a user name")

// request returns the message for a URL.
func (e *explanation) request(target string) (*peerv1.ExplainRequest, error) {
	u, err := url.Parse(target)
	if err != nil || u.Host == "" || u.User != nil {
		return nil, &commander.UsageError{Err: errTarget} // The parser's error would print the URL, which may hold a password.
	}
	out := &peerv1.ExplainRequest{Method: []byte(e.method), Host: []byte(u.Host), Target: []byte(u.RequestURI())}
	if e.deadline > 0 {
		out.Timeout = durationpb.New(e.deadline)
	}
	if e.bodyFile != "" {
		if out.Body, err = os.ReadFile(e.bodyFile); err != nil {
			return nil, oops.Wrapf(err, "read the body")
		}
	}
	return out, nil
}

// addresses returns the internal addresses of the hosts to ask.
func (e *explanation) addresses(settingsPath string) ([]string, error) {
	if len(e.hosts) == 0 {
		s, err := load(settingsPath)
		if err != nil {
			return nil, err
		}
		return []string{s.Peers().String()}, nil
	}
	out := make([]string, 0, len(e.hosts))
	for _, host := range e.hosts {
		address, err := netip.ParseAddrPort(strings.TrimSpace(host))
		if err != nil {
			return nil, &commander.UsageError{Err: fmt.Errorf("--hosts: %w", err)}
		}
		out = append(out, address.String())
	}
	return out, nil
}

var errKeyFile = errors.New("the file of the API key must hold one key of at most 64 KiB")

// readKey reads an API key. It returns an empty one if no file is given.
func readKey(file string, stdin io.Reader) (string, error) {
	if file == "" {
		return "", nil
	}
	in := stdin
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return "", oops.Wrapf(err, "open the file of the API key")
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	data, err := io.ReadAll(io.LimitReader(in, maxKeyBytes+1))
	if err != nil {
		return "", oops.Wrapf(err, "read the API key")
	}
	key := strings.TrimSpace(string(data))
	if key == "" || len(data) > maxKeyBytes {
		return "", &commander.UsageError{Err: errKeyFile}
	}
	return key, nil
}
