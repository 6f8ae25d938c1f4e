package isolator

import (
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"lycheelift.example/lib/eventer"
	"lycheelift.example/lib/quarantiner"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

// reportTimeout bounds the report to one host, because the error to the caller is delayed until the reports have ended.
const reportTimeout = 300 * time.Millisecond

func newSuspectRequest(fingerprint uint64, r quarantiner.Report, cleared bool) *peerv1.SuspectRequest {
	return &peerv1.SuspectRequest{Fingerprint: fingerprint, Crashes: r.Crashes, Blocked: r.Blocked, Cleared: cleared}
}

// broadcast sends the report to one host of each cell, which relays it to the other hosts of the cell. It returns when
// all these calls have ended.
func (i *Isolator) broadcast(m *peerv1.SuspectRequest) {
	var wait sync.WaitGroup
	for _, cell := range i.cells() {
		hosts := slices.DeleteFunc(slices.Clone(cell.Hosts), func(h string) bool { return h == i.self })
		wait.Go(func() { i.reportToCell(hosts, m) })
	}
	wait.Wait()
}

// reportToCell tries the hosts of a cell in order until one accepts the report, to relay it to those after it.
func (i *Isolator) reportToCell(hosts []string, m *peerv1.SuspectRequest) {
	for n, host := range hosts {
		out := proto.CloneOf(m)
		out.Relay = hosts[n+1:]
		if i.send(host, out) {
			return
		}
	}
}

// send sends the report to one host. A failure is logged, because that host may run a suspect that it does not know of.
func (i *Isolator) send(host string, m *peerv1.SuspectRequest) bool {
	conn, err := i.dial.Dial(host)
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		defer cancel()
		_, err = peerv1.NewPeerServiceClient(conn).Suspect(ctx, m)
	}
	if err != nil {
		eventer.SuspectReportFailed.Log(i.clock(), "host", host, "fingerprint", m.GetFingerprint(), "error", err.Error())
	}
	return err == nil
}
