package follower

import (
	"context"
	"strconv"
	"time"

	"lycheelift.example/fleetd/linker"
	"lycheelift.example/lib/ranker"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

const (
	// arbiterTimeout is the time after which the next control host is asked.
	arbiterTimeout = 250 * time.Millisecond
	// maxArbiters bounds the control hosts that are asked: a request must not wait longer than for two lost ones.
	maxArbiters = 2
)

// Arbitrate asks the control host that arbitrates between the requests of a fingerprint, or the next one in order if it cannot
// be reached. All entry hosts have the same order.
func (c *Client) Arbitrate(ctx context.Context, request *peerv1.TryRequest) (*peerv1.TryResponse, error) {
	c.mu.Lock()
	addresses := make([]string, 0, len(c.controls))
	for _, k := range c.controls {
		addresses = append(addresses, k.address)
	}
	c.mu.Unlock()
	order := ranker.Order(strconv.FormatUint(request.GetLoss().GetFingerprint(), 16), addresses)
	err := errNeverFollowed
	for _, address := range order[:min(len(order), maxArbiters)] {
		var response *peerv1.TryResponse
		attempt, cancel := context.WithTimeout(ctx, arbiterTimeout)
		response, err = linker.Try(attempt, address, request)
		cancel()
		if err == nil {
			return response, nil
		}
	}
	return nil, err
}
