package syncer

import (
	"context"
	"sync"

	peerv1 "lycheelift.example/schema/gen/lycheelift/peer/v1"
)

// publish updates this host's record from its leaves, pushes a change and updates the planner's table.
func (s *Syncer) publish(ctx context.Context) {
	now := s.clock()
	s.table.Expire(expireAge, now)
	var leaves []*peerv1.Leaf
	s.mu.Lock()
	withdrawn := s.withdrawn
	s.mu.Unlock()
	if withdrawn {
		s.rebuild()
		return
	}
	for _, l := range s.table.Announced(now) {
		if epoch, ok := s.holder.Holds(l.Name, now); ok && l.Center == s.center {
			leaves = append(leaves, &peerv1.Leaf{Announcement: l.Announcement(), Epoch: epoch})
		}
	}
	s.mu.Lock()
	if !s.withdrawn && s.catalogues.Publish(leaves) {
		s.pushPending = true
	}
	due := s.pushPending && now.Sub(s.lastPush) >= pushInterval && s.pushLimiter.AllowN(now, 1)
	if due {
		s.pushPending, s.lastPush = false, now
	}
	s.mu.Unlock()
	s.rebuild()
	if due {
		go s.push(ctx)
	}
}

// rebuild updates the planner's table with the published leaves when records, or the set of hosts whose records are
// used, have changed.
func (s *Syncer) rebuild() {
	now := s.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	generation, usable := s.catalogues.Generation(), s.catalogues.UsableHash(now)
	if generation == s.publishedGeneration && usable == s.publishedUsable {
		return
	}
	s.publishedGeneration, s.publishedUsable = generation, usable
	s.table.SetPublished(s.catalogues.Leaves(now))
}

// push sends this host's changed record to all hosts of its cell and to one host of every other cell, which relays it to
// its own cell. Digest exchanges repair losses. push returns when every host has answered or timed out.
func (s *Syncer) push(ctx context.Context) {
	s.mu.Lock()
	ownCell := s.catalogues.OwnCellName()
	message := &peerv1.SyncRequest{
		Catalogues: []*peerv1.Catalogue{s.catalogues.Own()}, Complete: ownCell, Marks: s.catalogues.Marks([]string{ownCell}),
	}
	s.mu.Unlock()
	var wait sync.WaitGroup
	for _, c := range s.follow.View().Cells {
		targets := shuffled(c.Hosts)
		wait.Go(func() {
			for _, host := range targets {
				if c.Name == ownCell {
					wait.Go(func() { s.call(ctx, host, message) })
				} else if s.call(ctx, host, message) != nil {
					return
				}
			}
		})
	}
	wait.Wait()
}

// SendRemoval sends the local removal to all hosts of this host's cell and to one host of every other cell of the data
// centre. Probes distribute it to the remaining hosts.
func (s *Syncer) SendRemoval(ctx context.Context) {
	ownCell := s.ownCellName()
	var wait sync.WaitGroup
	for _, c := range s.follow.View().Cells {
		if c.Center != s.center {
			continue
		}
		for _, host := range shuffled(c.Hosts) {
			wait.Go(func() { s.call(ctx, host, &peerv1.SyncRequest{}) })
			if c.Name != ownCell {
				break
			}
		}
	}
	wait.Wait()
}

// relay forwards a push from another cell to the hosts of this cell. It returns when they have answered or timed out, so
// that a host that empties its record before it stops knows when no host sends it calls any more.
func (s *Syncer) relay(ctx context.Context, in *peerv1.SyncRequest) {
	cell, _ := s.follow.View().Cell(s.self)
	message := &peerv1.SyncRequest{Catalogues: in.GetCatalogues(), Complete: in.GetComplete(), Marks: in.GetMarks()}
	var wait sync.WaitGroup
	for _, host := range cell.Hosts {
		wait.Go(func() { s.call(ctx, host, message) })
	}
	wait.Wait()
}

// call sends one sync request to a host and applies the version, age and removal in the response. It returns nil when
// the host did not answer or is this host.
func (s *Syncer) call(ctx context.Context, host string, message *peerv1.SyncRequest) *peerv1.SyncResponse {
	conn, err := s.dial.Dial(host)
	if err != nil || host == s.self {
		return nil
	}
	in := &peerv1.SyncRequest{
		Marks: message.GetMarks(), Digest: message.GetDigest(), Cells: message.GetCells(),
		Catalogues: message.GetCatalogues(), Complete: message.GetComplete(),
	}
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	view := s.follow.View()
	in.Host, in.Version, in.Removal = s.self, view.Number, view.Removal
	out, err := peerv1.NewPeerServiceClient(conn).Sync(ctx, in)
	if err != nil {
		return nil
	}
	s.follow.ApplySyncResponse(out)
	return out
}
