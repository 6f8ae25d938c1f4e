package command_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"
	"github.com/rogpeppe/go-internal/testscript"
	"github.com/spf13/cobra"

	"lycheelift.example/lib/commander"
	"lycheelift.example/lib/configurator"
	"lycheelift.example/lib/transporter"
	"lycheelift.example/lycheelift/command"
	operatorv1 "lycheelift.example/schema/gen/lycheelift/operator/v1"
	"lycheelift.example/schema/gen/lycheelift/operator/v1/operatorv1connect"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"lycheelift": func() { os.Exit(commander.Exit(command.New().Execute())) },
	})
}

// Guards against commands whose output, exit code or advice differs from the test scripts.
func TestCommands(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata",
		Setup: setup,
		Cmds:  map[string]func(*testscript.TestScript, bool, []string){"exits": exits},
	})
}

// Guards against a command without an example in its help.
func TestEveryCommandHasAnExample(t *testing.T) {
	var checkExample func(*cobra.Command)
	checkExample = func(c *cobra.Command) {
		qt.Check(t, c.Example, qt.Not(qt.Equals), "", qt.Commentf("%s", c.CommandPath()))
		for _, child := range c.Commands() {
			checkExample(child)
		}
	}
	checkExample(command.New())
}

// exits is the test script command "exits CODE ARGUMENT...", which runs lycheelift and checks its exit code.
func exits(ts *testscript.TestScript, _ bool, args []string) {
	err := ts.Exec("lycheelift", args[1:]...)
	code := "0"
	if err != nil {
		code = fmt.Sprint(err)
	}
	if code != args[0] && code != "exit status "+args[0] {
		ts.Fatalf("lycheelift %v: %s, want exit status %s", args[1:], code, args[0])
	}
}

func setup(env *testscript.Env) error {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle(operatorv1connect.NewOperatorServiceHandler(&control{machine: configurator.New()}))
	server := transporter.NewServer(mux)
	go func() { _ = server.Serve(listener) }()
	env.Defer(func() { _ = server.Close() })
	env.Setenv("CONTROL", listener.Addr().String())
	return nil
}

// control is a fake control host in memory. With each call of Status, one more host reports the newest version.
type control struct {
	operatorv1connect.UnimplementedOperatorServiceHandler

	mu      sync.Mutex
	machine *configurator.Machine
	reports map[string]uint64
}

var now = time.Unix(1_700_000_000, 0)

func (c *control) Patch(_ context.Context, in *operatorv1.PatchRequest) (*operatorv1.PatchResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if in.GetPatch().GetReason() == "lose the answer" {
		return nil, connect.NewError(connect.CodeUnavailable, fmt.Errorf("no majority"))
	}
	return &operatorv1.PatchResponse{Result: c.machine.Apply(in.GetPatch(), now)}, nil
}

func (c *control) Show(_ context.Context, in *operatorv1.ShowRequest) (*operatorv1.ShowResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if in.GetVersion() == 0 {
		return &operatorv1.ShowResponse{Version: c.machine.Current()}, nil
	}
	v, ok := c.machine.Version(in.GetVersion())
	if !ok {
		return nil, connect.NewError(connect.CodeNotFound, fmt.Errorf("version %d is not kept", in.GetVersion()))
	}
	return &operatorv1.ShowResponse{Version: v}, nil
}

func (c *control) Difference(_ context.Context, in *operatorv1.DifferenceRequest) (*operatorv1.DifferenceResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	out, err := c.machine.Difference(in.GetFrom(), in.GetTo())
	if err != nil {
		return nil, connect.NewError(connect.CodeNotFound, err)
	}
	return &operatorv1.DifferenceResponse{From: in.GetFrom(), To: max(in.GetTo(), c.machine.Current().GetNumber()), Difference: out}, nil
}

func (c *control) History(_ context.Context, in *operatorv1.HistoryRequest) (*operatorv1.HistoryResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &operatorv1.HistoryResponse{Audits: c.machine.Audits(in.GetFrom(), int(in.GetLimit()))}, nil
}

func (c *control) Status(context.Context, *operatorv1.StatusRequest) (*operatorv1.StatusResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.machine.Current().GetNumber()
	out := &operatorv1.StatusResponse{
		Host: "control-1", Leader: "control-1", Term: 2, Commit: 9, Version: current,
		Members: &statev1.Members{Replicas: []*statev1.Replica{{Host: "control-1", Address: "10.0.0.1:7401"}}},
	}
	if c.reports == nil {
		c.reports = make(map[string]uint64)
	}
	for _, name := range []string{"entry-1", "entry-2"} {
		if c.reports[name] < current {
			out.Late = append(out.Late, name)
		}
		out.Hosts = append(out.Hosts, &statev1.InForce{Host: name, Version: c.reports[name]})
	}
	if len(out.GetLate()) > 0 {
		c.reports[out.GetLate()[0]] = current
	}
	return out, nil
}

func (*control) Member(_ context.Context, in *operatorv1.MemberRequest) (*operatorv1.MemberResponse, error) {
	if in.GetRemove() != "" {
		return nil, connect.NewError(connect.CodeFailedPrecondition, fmt.Errorf("%s is the only control host", in.GetRemove()))
	}
	replicas := []*statev1.Replica{{Host: "control-1", Address: "10.0.0.1:7401"}, in.GetAdd()}
	return &operatorv1.MemberResponse{Members: &statev1.Members{Replicas: replicas}}, nil
}
