package cataloguer_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"lycheelift.example/lib/cataloguer"
	backendv1 "lycheelift.example/schema/gen/lycheelift/backend/v1"
)

// FuzzAnnouncement guards against an announcement that causes a panic, and against accepting one with a shard outside its
// snapshot.
func FuzzAnnouncement(f *testing.F) {
	seed, err := proto.Marshal(&backendv1.AnnounceRequest{
		Leaf: "desk-0-0", Address: "127.0.0.1:1", Center: "a", Service: "desk", State: backendv1.State_STATE_WARM, Slots: 2, Connections: 25,
		Holdings: []*backendv1.Holding{{Snapshot: 1, Shard: 0, Shards: 3}},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		in := &backendv1.AnnounceRequest{}
		if proto.Unmarshal(data, in) != nil {
			return
		}
		now := time.Unix(1, 0)
		leaf, err := cataloguer.ParseAnnouncement(in, now)
		if err != nil {
			return
		}
		table := cataloguer.New(now)
		table.Put(leaf)
		for _, s := range table.Snapshots(leaf.Service, now) {
			if s.Shards == 0 || s.Held() > int(s.Shards) {
				t.Fatalf("snapshot %d has %d of %d shards", s.Number, s.Held(), s.Shards)
			}
		}
	})
}
