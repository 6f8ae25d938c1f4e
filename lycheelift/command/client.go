package command

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/samber/oops"

	"lycheelift.example/lib/commander"
	"lycheelift.example/lib/transporter"
	"lycheelift.example/schema/gen/lycheelift/operator/v1/operatorv1connect"
)

// operators is the client of one control host.
type operators = operatorv1connect.OperatorServiceClient

func usage(format string, args ...any) error {
	return &commander.UsageError{Err: fmt.Errorf(format, args...)}
}

func coded(code int, format string, args ...any) error {
	return &commander.CodeError{Code: code, Err: fmt.Errorf(format, args...)}
}

// prepare finds flags with values that no command accepts, and makes the client.
func (s *shared) prepare() error {
	if s.output != outputTable && s.output != outputJSON {
		return usage("--output must be %s or %s, not %q", outputTable, outputJSON, s.output)
	}
	listening := s.control
	if s.entry != "" {
		listening = append(slices.Clone(s.control), s.entry)
	}
	secure, err := transporter.NewSecurity(s.files.Certificate == "", s.files, time.Now, listening...)
	if err != nil {
		return usage("%s; give --certificate, --key-file and --authority", err)
	}
	s.secure = secure
	s.client = secure.Client(transporter.Silence{Idle: silenceIdle, Answer: silenceAnswer})
	return nil
}

// each calls the control hosts in turn until one answers. A refusal is an answer; a host that cannot be reached is not.
func (s *shared) each(ctx context.Context, call func(context.Context, operators) error) error {
	if len(s.control) == 0 {
		return usage("--control is required: give the operators' addresses of the control hosts")
	}
	var failures []error
	for _, address := range s.control {
		err := s.one(ctx, address, call)
		if err == nil {
			return nil
		}
		if decided(err) {
			return answered(err)
		}
		failures = append(failures, oops.Wrapf(err, "control host %s", address))
	}
	return coded(commander.ExitUnreachable, "no control host answered; check --control and the network, and try again:\n%w", errors.Join(failures...))
}

func (s *shared) one(ctx context.Context, address string, call func(context.Context, operators) error) error {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	return call(ctx, operatorv1connect.NewOperatorServiceClient(s.client, s.secure.URL(address)))
}

// decided reports whether an error is the answer of a control host, which another one would repeat.
func decided(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument, connect.CodeNotFound, connect.CodeFailedPrecondition, connect.CodePermissionDenied, connect.CodeUnauthenticated:
		return true
	default:
		return false
	}
}

// answered converts the error of a control host into one for the operator.
func answered(err error) error {
	text := err.Error()
	var refused *connect.Error
	if errors.As(err, &refused) {
		text = refused.Message()
	}
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument:
		return usage("%s", text)
	case connect.CodeNotFound:
		return coded(commander.ExitFailed, "%s; lycheelift history lists the versions kept", text)
	default:
		return coded(commander.ExitFailed, "%s", text)
	}
}
