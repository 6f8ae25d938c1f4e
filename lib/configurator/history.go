package configurator

import (
	"fmt"
	"sync/atomic"

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
	tree     map[string]any // newest document
	// whole is the newest version with its document, encoded when it is first read: a restart applies hundreds of
	// changes of which nobody reads the versions between.
	whole *atomic.Pointer[statev1.Version]
}

func newHistory(keep int) history {
	first := &statev1.Version{Number: 1, Document: []byte("{}"), Difference: []byte("{}")}
	return history{keep: keep, versions: []*statev1.Version{first}, tree: map[string]any{}, whole: &atomic.Pointer[statev1.Version]{}}
}

// add appends a version that holds its difference.
func (h *history) add(v *statev1.Version, tree map[string]any) error {
	if v.GetNumber()%blockSize == 0 {
		document, err := encode(tree)
		if err != nil {
			return err
		}
		v.Document = document
	}
	h.tree = tree
	h.whole.Store(nil)
	h.versions = append(h.versions, v)
	h.trim()
	return nil
}

// newest returns the number of the newest version.
func (h *history) newest() uint64 {
	return h.versions[len(h.versions)-1].GetNumber()
}

// current returns the newest version with its document. Readers may call it at the same time.
func (h *history) current() *statev1.Version {
	if v := h.whole.Load(); v != nil {
		return v
	}
	data, err := encode(h.tree)
	if err != nil {
		panic(fmt.Sprintf("invariant document_encodes: %v", err)) // The tree was decoded from JSON.
	}
	out := proto.CloneOf(h.versions[len(h.versions)-1])
	out.Document = data
	h.whole.Store(out)
	return out
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
	if number == h.newest() {
		return h.current(), true
	}
	oldest := h.versions[0].GetNumber()
	if number < oldest || number > h.newest() {
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
	h.tree = tree
	return nil
}
