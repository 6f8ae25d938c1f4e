package enroller

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/types/known/timestamppb"

	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// departureTime is the time for which a departure is kept. A heartbeat that is delayed for longer than this would
// register a departed leaf again.
const departureTime = 10 * time.Minute

// Departures is the replicated state of the leaves that are leaving or have left. It is not safe for concurrent use.
type Departures struct {
	// born holds the newest departed incarnation of each leaf.
	born map[string]departure
}

type departure struct {
	born uint64
	time time.Time
}

// NewDepartures returns an empty state.
func NewDepartures() *Departures {
	return &Departures{born: make(map[string]departure)}
}

// Apply records a departure; now is the time of the command.
func (d *Departures) Apply(leaf string, born uint64, now time.Time) {
	for name, old := range d.born {
		if now.Sub(old.time) >= departureTime {
			delete(d.born, name)
		}
	}
	if old, ok := d.born[leaf]; !ok || born > old.born {
		d.born[leaf] = departure{born: born, time: now}
	}
}

// Departed reports whether an incarnation of a leaf has departed.
func (d *Departures) Departed(leaf string, born uint64) bool {
	old, ok := d.born[leaf]
	return ok && born <= old.born
}

// Each calls f for every departure.
func (d *Departures) Each(f func(leaf string, born uint64)) {
	for name, old := range d.born {
		f(name, old.born)
	}
}

// Save writes the state to a snapshot, sorted by leaf.
func (d *Departures) Save(state *statev1.State) {
	for name, old := range d.born {
		state.Departures = append(state.Departures, &statev1.Departure{Leaf: name, Born: old.born, Time: timestamppb.New(old.time)})
	}
	slices.SortFunc(state.Departures, func(a, b *statev1.Departure) int { return cmp.Compare(a.GetLeaf(), b.GetLeaf()) })
}

// Load replaces the state with that of a snapshot.
func (d *Departures) Load(state *statev1.State) {
	d.born = make(map[string]departure, len(state.GetDepartures()))
	for _, x := range state.GetDepartures() {
		d.born[x.GetLeaf()] = departure{born: x.GetBorn(), time: x.GetTime().AsTime()}
	}
}
