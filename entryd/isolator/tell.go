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

// tellTimeout bounds the report to one host; the caller's error waits for the reports.
const tellTimeout = 300 * time.Millisecond

func message(fingerprint uint64, r quarantiner.Report, cleared bool) *peerv1.SuspectRequest {
	return &peerv1.SuspectRequest{Fingerprint: fingerprint, Crashes: r.Crashes, Blocked: r.Blocked, Cleared: cleared}
}

// tell reports to one host of each cell, which passes the report to the others, and waits until all have answered.
func (i *Isolator) tell(m *peerv1.SuspectRequest) {
	var wait sync.WaitGroup
	for _, cell := range i.cells() {
		hosts := slices.DeleteFunc(slices.Clone(cell.Hosts), func(h string) bool { return h == i.self })
		wait.Go(func() { i.tellCell(hosts, m) })
	}
	wait.Wait()
}

// tellCell tries the hosts of a cell in turn until one has taken the report for the rest.
func (i *Isolator) tellCell(hosts []string, m *peerv1.SuspectRequest) {
	for n, host := range hosts {
		out := proto.CloneOf(m)
		out.Relay = hosts[n+1:]
		if i.send(host, out) {
			return
		}
	}
}

// send reports to one host. A host that cannot be reached may run a suspect that it does not know.
func (i *Isolator) send(host string, m *peerv1.SuspectRequest) bool {
	conn, err := i.dial.Dial(host)
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
		defer cancel()
		_, err = peerv1.NewPeerServiceClient(conn).Suspect(ctx, m)
	}
	if err != nil {
		eventer.SuspectUntold.Log(i.clock(), "host", host, "fingerprint", m.GetFingerprint(), "error", err.Error())
	}
	return err == nil
}
