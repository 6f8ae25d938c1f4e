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

// operatorClient is the client of one control host.
type operatorClient = operatorv1connect.OperatorServiceClient

func usageError(format string, args ...any) error {
	return &commander.UsageError{Err: fmt.Errorf(format, args...)}
}

func exitError(code int, format string, args ...any) error {
	return &commander.CodeError{Code: code, Err: fmt.Errorf(format, args...)}
}

// validateFlags checks the flags that all commands share, and creates the client.
func (s *shared) validateFlags() error {
	if s.output != outputTable && s.output != outputJSON {
		return usageError("--output must be %s or %s, not %q", outputTable, outputJSON, s.output)
	}
	addresses := s.control
	if s.entry != "" {
		addresses = append(slices.Clone(s.control), s.entry)
	}
	secure, err := transporter.NewSecurity(s.files.Certificate == "", s.files, time.Now, addresses...)
	if err != nil {
		return usageError("%s; give --certificate, --key-file and --authority", err)
	}
	s.secure = secure
	s.client = secure.Client(transporter.PingPolicy{Interval: pingInterval, Timeout: pingTimeout})
	return nil
}

// tryEach calls the control hosts in turn until one responds. A refusal counts as a response.
func (s *shared) tryEach(ctx context.Context, call func(context.Context, operatorClient) error) error {
	if len(s.control) == 0 {
		return usageError("--control is required: give the operators' addresses of the control hosts")
	}
	var failures []error
	for _, address := range s.control {
		err := s.callHost(ctx, address, call)
		if err == nil {
			return nil
		}
		if isRefusal(err) {
			return operatorError(err)
		}
		failures = append(failures, oops.Wrapf(err, "control host %s", address))
	}
	return exitError(commander.ExitUnreachable, "no control host answered; check --control and the network, and try again:\n%w", errors.Join(failures...))
}

func (s *shared) callHost(ctx context.Context, address string, call func(context.Context, operatorClient) error) error {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	return call(ctx, operatorv1connect.NewOperatorServiceClient(s.client, s.secure.URL(address)))
}

// isRefusal reports whether an error is the refusal of a host, which any other host would return too.
func isRefusal(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument, connect.CodeNotFound, connect.CodeFailedPrecondition, connect.CodePermissionDenied, connect.CodeUnauthenticated:
		return true
	default:
		return false
	}
}

// operatorError converts the refusal of a host into an error with advice for the operator.
func operatorError(err error) error {
	text := err.Error()
	var refused *connect.Error
	if errors.As(err, &refused) {
		text = refused.Message()
	}
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument:
		return usageError("%s", text)
	case connect.CodeNotFound:
		return exitError(commander.ExitFailed, "%s; lycheelift history lists the versions kept", text)
	default:
		return exitError(commander.ExitFailed, "%s", text)
	}
}
