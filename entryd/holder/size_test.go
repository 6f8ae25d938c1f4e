package holder

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"lycheelift.example/lib/leaser"
	"lycheelift.example/lib/ranker"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

var measure = flag.Bool("measure", false, "measure and print figures")

// Prints the message sizes of lease renewals and the time that a granter takes for one. docs/owner.md has the command.
func TestMeasureRenewalSize(t *testing.T) {
	if !*measure {
		t.Skip("needs -measure")
	}
	hosts := []string{"entry-1", "entry-2", "entry-3", "entry-4", "entry-5", "entry-6", "entry-7", "entry-8", "entry-9"}
	cell := ranker.Cell{Name: "c/0", Hosts: hosts, Granters: hosts[:3]}
	for _, n := range []int{0, 6, 58} {
		request := &peerv1.LeaseRequest{Host: "entry-1", Incarnation: 1 << 60, Group: 1, Sequence: 1 << 20, Version: 480}
		response := &peerv1.LeaseResponse{Version: 480}
		now := time.Now()
		granter := leaser.NewGranter(now)
		granter.Configure([]uint64{leaser.Group(cell)}, now)
		now = now.Add(leaser.Term)
		plain := leaser.Request{Host: "entry-1", Incarnation: 1, Group: leaser.Group(cell)}
		for i := range n {
			claim := &peerv1.Claim{Leaf: fmt.Sprintf("desk-%d-0", i), Epoch: 1 << 50}
			request.Claims = append(request.Claims, claim)
			response.Granted = append(response.Granted, claim)
			plain.Claims = append(plain.Claims, leaser.Claim{Leaf: claim.GetLeaf(), Epoch: claim.GetEpoch()})
		}
		const rounds = 2000
		start := time.Now()
		for range rounds {
			plain.Sequence++
			granter.Handle(plain, now)
		}
		fmt.Printf("%2d leaves: request %4d B, response %4d B, granter %s a request\n", n, sizeOf(request), sizeOf(response), time.Since(start)/rounds)
	}
}
