package enroller

import (
	"errors"
	"net/netip"
	"os"
	"time"

	"github.com/samber/oops"
	"google.golang.org/protobuf/proto"

	"lycheelift.example/lib/eventer"
	"lycheelift.example/lib/journaler"
	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

// File names of the roster. The temporary file is renamed once it is complete.
const (
	fileName      = "roster"
	temporaryName = "roster.tmp"
)

// Save writes the roster to a folder, so that a control host knows the leaves immediately after a restart. The saved
// roster may be out of date, as leaves may have departed since; later heartbeats and departures override it.
func (r *Roster) Save(folder journaler.FileSystem) error {
	state := &statev1.Roster{}
	for _, l := range r.Since(0, false).Leaves {
		state.Leaves = append(state.Leaves, &statev1.RosterEntry{
			Leaf: l.Name, Born: l.Born, Sequence: l.Sequence, Service: l.Service, Address: l.Address.String(), Center: l.Center,
			Slots: uint32(max(l.Slots, 0)), Leaving: l.Leaving && !l.Displaced, Program: l.Program, //nolint:gosec // A small number.
		})
	}
	payload, err := proto.Marshal(state)
	if err != nil {
		return oops.In("enroller").Wrapf(err, "encode the roster")
	}
	if err := write(folder, journaler.Frame(payload)); err != nil {
		return oops.In("enroller").Wrapf(err, "write the roster")
	}
	return nil
}

func write(folder journaler.FileSystem, frame []byte) error {
	file, err := folder.Create(temporaryName)
	if err != nil {
		return err
	}
	_, err = file.Write(frame)
	if err == nil {
		err = file.Sync()
	}
	if err := errors.Join(err, file.Close()); err != nil {
		return err
	}
	return errors.Join(folder.Rename(temporaryName, fileName), folder.Sync())
}

// Load adds the leaves that were saved in a folder to the roster and returns their number. A missing or damaged file
// is not fatal, because the leaves announce themselves again.
func (r *Roster) Load(folder journaler.FileSystem, now time.Time) (int, error) {
	data, err := journaler.ReadDurable(folder, fileName)
	if errors.Is(err, os.ErrNotExist) {
		return 0, nil
	}
	if err == nil {
		err = folder.Sync() // The last rename may not be durable yet.
	}
	if err != nil {
		return 0, oops.In("enroller").Wrapf(err, "read the roster")
	}
	count := 0
	damaged := journaler.Frames(data, func(payload []byte) {
		state := &statev1.Roster{}
		if err = proto.Unmarshal(payload, state); err == nil {
			count = r.load(state, now)
		}
	})
	if err == nil && damaged > 0 {
		err = errors.New("the roster file is damaged")
	}
	return count, oops.In("enroller").Wrapf(err, "read the roster")
}

func (r *Roster) load(state *statev1.Roster, now time.Time) int {
	count := 0
	for _, m := range state.GetLeaves() {
		l, err := decodeEntry(m)
		if err != nil {
			eventer.AnnounceRejected.Log(now, "leaf", m.GetLeaf(), "error", err.Error())
			continue
		}
		if r.Put(l, now) == Changed {
			count++
		}
	}
	return count
}

// decodeEntry validates an entry of the file and returns the leaf that it describes.
func decodeEntry(m *statev1.RosterEntry) (*Leaf, error) {
	address, err := netip.ParseAddrPort(m.GetAddress())
	if err != nil {
		return nil, oops.In("enroller").Wrapf(err, "address of %s", m.GetLeaf())
	}
	out := &Leaf{
		Name: m.GetLeaf(), Born: m.GetBorn(), Sequence: m.GetSequence(), Service: m.GetService(), Address: address,
		Center: m.GetCenter(), Slots: int(m.GetSlots()), Leaving: m.GetLeaving(), Program: m.GetProgram(),
	}
	if err := out.Validate(); err != nil {
		return nil, oops.In("enroller").Wrap(err)
	}
	return out, nil
}
