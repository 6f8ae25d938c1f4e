package configurator

import (
	"github.com/samber/oops"
	"google.golang.org/protobuf/proto"

	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

const (
	// blockSize is the number of versions that share one whole document; the others keep only their difference.
	// Reading a version merges at most blockSize-1 differences.
	blockSize = 64
	// DefaultVersions is the number of newest versions kept: ten days at 480 changes a day.
	DefaultVersions = 5000
)

// history keeps the newest versions in blocks: the first version of a block holds the whole document.
type history struct {
	keep     int
	versions []*statev1.Version
	tree     map[string]any   // newest document
	current  *statev1.Version // newest version with its document
}

// add appends a version that holds both its document and its difference.
func (h *history) add(v *statev1.Version, tree map[string]any) {
	h.current, h.tree = v, tree
	kept := v
	if v.GetNumber()%blockSize != 0 && len(h.versions) > 0 {
		kept = proto.CloneOf(v)
		kept.Document = nil
	}
	h.versions = append(h.versions, kept)
	h.trim()
}

// trim drops whole blocks, so that the oldest version kept always holds its document. Between keep and
// keep+blockSize-1 versions stay.
func (h *history) trim() {
	for len(h.versions) > h.keep {
		next := 1
		for next < len(h.versions) && len(h.versions[next].GetDocument()) == 0 {
			next++
		}
		if len(h.versions)-next < h.keep {
			return
		}
		clear(h.versions[:next])
		h.versions = h.versions[next:]
	}
}

// version rebuilds a version with its whole document. Versions are numbered without gaps.
func (h *history) version(number uint64) (*statev1.Version, bool) {
	if number == h.current.GetNumber() {
		return h.current, true
	}
	oldest := h.versions[0].GetNumber()
	if number < oldest || number > h.current.GetNumber() {
		return nil, false
	}
	at := number - oldest
	tree, ok := h.document(at)
	if !ok {
		return nil, false
	}
	data, err := encode(tree)
	if err != nil {
		return nil, false
	}
	out := proto.CloneOf(h.versions[at])
	out.Document = data
	return out, true
}

// document merges the differences since the start of the block.
func (h *history) document(at uint64) (map[string]any, bool) {
	start := at
	for len(h.versions[start].GetDocument()) == 0 {
		start--
	}
	tree, err := decode(h.versions[start].GetDocument())
	if err != nil {
		return nil, false
	}
	for _, v := range h.versions[start+1 : at+1] {
		step, err := decode(v.GetDifference())
		if err != nil {
			return nil, false
		}
		tree = merge(tree, step)
	}
	return tree, true
}

// load rebuilds the newest document after a restore.
func (h *history) load() error {
	last := len(h.versions) - 1
	tree, ok := h.document(uint64(last)) //nolint:gosec // An index is not negative.
	if !ok {
		return oops.In("configurator").Errorf("the document of version %d cannot be rebuilt", h.versions[last].GetNumber())
	}
	data, err := encode(tree)
	if err != nil {
		return err
	}
	h.tree = tree
	h.current = proto.CloneOf(h.versions[last])
	h.current.Document = data
	return nil
}
