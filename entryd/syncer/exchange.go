package syncer

import (
	"context"
	"math/rand/v2"

	"google.golang.org/protobuf/types/known/durationpb"

	"lycheelift.example/entryd/follower"
	"lycheelift.example/lib/ranker"
	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

// exchange exchanges digests with a random host of a random other cell.
func (s *Syncer) exchange(ctx context.Context) {
	cells := s.follow.View().Cells
	ownCell := s.ownCellName()
	var others []ranker.Cell
	for _, c := range cells {
		if c.Name != ownCell {
			others = append(others, c)
		}
	}
	if len(others) == 0 {
		return
	}
	s.exchangeWith(ctx, shuffled(others[rand.IntN(len(others))].Hosts)[0]) //nolint:gosec // Spreading load needs no secure randomness.
}

// exchangeWith compares digests with a host and fetches the records that differ. It reports whether the host answered and
// is not starting, which means that it knows the leaves of its cell.
func (s *Syncer) exchangeWith(ctx context.Context, host string) bool {
	out := s.call(ctx, host, &peerv1.SyncRequest{Digest: s.digest()})
	if out == nil {
		return false
	}
	s.mu.Lock()
	now := s.clock()
	cells := s.catalogues.Compare(out.GetDigest(), now)
	cells = cells[:min(len(cells), fetchCells)]
	if c, ok := s.follow.View().Cell(host); ok && c.Name == s.catalogues.OwnCellName() {
		cells = append(cells, c.Name)
	}
	marks := s.catalogues.Marks(cells)
	s.mu.Unlock()
	if len(cells) > 0 {
		s.fetch(ctx, host, cells, marks, out.GetDigest())
	}
	return !out.GetDigest().GetStarting()
}

func (s *Syncer) fetch(ctx context.Context, host string, cells []string, marks []*peerv1.Mark, digest *peerv1.Digest) {
	records := s.call(ctx, host, &peerv1.SyncRequest{Cells: cells, Marks: marks})
	if records == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.catalogues.ApplyAnswer(cells, digest, records.GetMarks(), records.GetCatalogues(), s.clock())
}

func (s *Syncer) digest() *peerv1.Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	out := s.catalogues.Digest(now)
	out.Starting = s.table.Starting(now)
	return out
}

// Sync answers a sync request from another host.
func (s *Syncer) Sync(ctx context.Context, in *peerv1.SyncRequest) (*peerv1.SyncResponse, error) {
	now := s.clock()
	out := &peerv1.SyncResponse{Age: durationpb.New(s.follow.Age(now))}
	s.follow.ApplyRemoval(in.GetRemoval(), now)
	view := s.follow.View()
	if view.Number > in.GetVersion() {
		out.Version = view.Version
	}
	if host, ok := view.Document.Hosts[in.GetHost()]; ok && host.Center == s.center {
		out.Removal = view.Removal
	}
	if in.GetDigest() != nil {
		out.Digest = s.digest()
	}
	if len(in.GetCells()) > 0 {
		s.mu.Lock()
		out.Marks, out.Catalogues = s.catalogues.Answer(in.GetCells(), in.GetMarks())
		s.mu.Unlock()
	}
	if len(in.GetCatalogues()) > 0 {
		s.receivePush(ctx, in, view)
	}
	if _, known := view.Document.Hosts[in.GetHost()]; known {
		s.follow.FetchIfNewer(in.GetHost(), in.GetVersion())
	}
	return out, nil
}

// receivePush handles pushed records. New records from another cell are relayed inside this cell. If the push shows that
// other records of the sender's cell are missing here, they are fetched from the sender.
func (s *Syncer) receivePush(ctx context.Context, in *peerv1.SyncRequest, view *follower.View) {
	s.mu.Lock()
	fresh := false
	for _, c := range in.GetCatalogues() {
		s.dial.Wake(c.GetHost())
		fresh = s.catalogues.Offer(c) || fresh
	}
	ownCell := s.catalogues.OwnCellName()
	now := s.clock()
	known := in.GetComplete() == ownCell || s.catalogues.ApplyMarks(in.GetComplete(), in.GetMarks(), now)
	needExchange := !known && now.Sub(s.lastMarkExchange) >= markExchangeInterval
	if needExchange {
		s.lastMarkExchange = now
	}
	s.mu.Unlock()
	s.rebuild()
	if sender, ok := view.Cell(in.GetHost()); fresh && ok && sender.Name != ownCell {
		s.relay(ctx, in)
	}
	if needExchange {
		go s.exchangeWith(context.WithoutCancel(ctx), in.GetHost())
	}
}

// HomeHash returns the hash of the records of this host's cell.
func (s *Syncer) HomeHash() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.catalogues.OwnCellHash()
}

// FetchHome fetches the records of this host's cell from another host of the cell, in the background. It is called when
// that host's hash differs.
func (s *Syncer) FetchHome(host string) {
	s.mu.Lock()
	now := s.clock()
	name := s.catalogues.OwnCellName()
	if name == "" || now.Sub(s.lastHomeFetch[host]) < homeFetchInterval {
		s.mu.Unlock()
		return
	}
	s.lastHomeFetch[host] = now
	marks := s.catalogues.Marks([]string{name})
	s.mu.Unlock()
	go s.fetch(context.Background(), host, []string{name}, marks, nil)
}

func shuffled(in []string) []string {
	out := make([]string, len(in))
	for i, j := range rand.Perm(len(in)) { //nolint:gosec // Spreading load needs no secure randomness.
		out[i] = in[j]
	}
	return out
}
