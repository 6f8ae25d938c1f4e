package explainer

import (
	"context"
	"sync"
	"time"

	"github.com/samber/oops"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"lycheelift.example/fleetd/linker"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

// askTimeout bounds the time to ask one host.
const askTimeout = 3 * time.Second

// Answer is the answer of one host, or the error why there is none.
type Answer struct {
	// Address is the address of the host's internal port.
	Address  string
	Response *peerv1.ExplainResponse
	Err      error
}

// Ask asks hosts at the addresses of their internal ports concurrently and returns their answers in the same order. The API
// key is sent to each host encrypted with the public key of its process; an empty one is not sent.
func Ask(ctx context.Context, addresses []string, r *peerv1.ExplainRequest, key string) []Answer {
	out := make([]Answer, len(addresses))
	var running sync.WaitGroup
	for i, address := range addresses {
		running.Go(func() {
			out[i].Address = address
			out[i].Response, out[i].Err = ask(ctx, address, r, key)
		})
	}
	running.Wait()
	return out
}

func ask(ctx context.Context, address string, r *peerv1.ExplainRequest, key string) (*peerv1.ExplainResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	dial, _ := linker.Options()
	conn, err := grpc.NewClient("passthrough:///"+address, dial...)
	if err != nil {
		return nil, oops.In("explainer").Wrapf(err, "connect to %s", address)
	}
	defer func() { _ = conn.Close() }()
	client := peerv1.NewExplainServiceClient(conn)
	if key != "" {
		identity, err := client.Identify(ctx, &peerv1.IdentifyRequest{})
		if err != nil {
			return nil, oops.In("explainer").Wrapf(err, "ask %s for its public key", address)
		}
		sealed, err := seal(identity.GetPublic(), key)
		if err != nil {
			return nil, err
		}
		r = proto.CloneOf(r)
		r.Sealed = sealed
	}
	out, err := client.Explain(ctx, r)
	return out, oops.In("explainer").Wrapf(err, "ask %s", address)
}
