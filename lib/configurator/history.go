package configurator

import (
	"fmt"
	"sync/atomic"

	"github.com/samber/oops"
	"google.golang.org/protobuf/proto"

	statev1 "lycheelift.example/schema/gen/lycheelift/state/v1"
)

const (
	// blockSize is the number of versions in a block. The first one holds the full document, the others only their
	// differences, so that reading a version merges at most blockSize-1 differences.
	blockSize = 64
	// DefaultVersions is the default number of newest versions kept: ten days at 480 changes per day.
	DefaultVersions = 5000
)

// history stores the newest versions in blocks. The first version of a block holds the full document.
type history struct {
	keep     int
	versions []*statev1.Version
	tree     map[string]any // newest document
	// newestCache caches the newest version with its document. The document is encoded when it is first read, because a
	// restart applies hundreds of changes whose intermediate versions are not read.
	newestCache *atomic.Pointer[statev1.Version]
}

func newHistory(keep int) history {
	first := &statev1.Version{Number: 1, Document: []byte("{}"), Difference: []byte("{}")}
	return history{keep: keep, versions: []*statev1.Version{first}, tree: map[string]any{}, newestCache: &atomic.Pointer[statev1.Version]{}}
}

// add appends a version and sets the newest document.
func (h *history) add(v *statev1.Version, tree map[string]any) error {
	if v.GetNumber()%blockSize == 0 {
		document, err := encode(tree)
		if err != nil {
			return err
		}
		v.Document = document
	}
	h.tree = tree
	h.newestCache.Store(nil)
	h.versions = append(h.versions, v)
	h.trim()
	return nil
}

// newest returns the number of the newest version.
func (h *history) newest() uint64 {
	return h.versions[len(h.versions)-1].GetNumber()
}

// current returns the newest version with its document. It may be called concurrently.
func (h *history) current() *statev1.Version {
	if v := h.newestCache.Load(); v != nil {
		return v
	}
	data, err := encode(h.tree)
	if err != nil {
		panic(fmt.Sprintf("invariant document_encodes: %v", err)) // The tree was decoded from JSON.
	}
	out := proto.CloneOf(h.versions[len(h.versions)-1])
	out.Document = data
	h.newestCache.Store(out)
	return out
}

// trim removes whole blocks, so that the oldest remaining version always holds its document. Between keep and
// keep+blockSize-1 versions remain.
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

// version returns a version with its full document. Versions are numbered without gaps.
func (h *history) version(number uint64) (*statev1.Version, bool) {
	if number == h.newest() {
		return h.current(), true
	}
	oldest := h.versions[0].GetNumber()
	if number < oldest || number > h.newest() {
		return nil, false
	}
	offset := number - oldest
	tree, ok := h.document(offset)
	if !ok {
		return nil, false
	}
	data, err := encode(tree)
	if err != nil {
		return nil, false
	}
	out := proto.CloneOf(h.versions[offset])
	out.Document = data
	return out, true
}

// document rebuilds the document of a version by merging the differences since the start of its block.
func (h *history) document(offset uint64) (map[string]any, bool) {
	start := offset
	for len(h.versions[start].GetDocument()) == 0 {
		start--
	}
	tree, err := decode(h.versions[start].GetDocument())
	if err != nil {
		return nil, false
	}
	for _, v := range h.versions[start+1 : offset+1] {
		change, err := decode(v.GetDifference())
		if err != nil {
			return nil, false
		}
		tree = merge(tree, change)
	}
	return tree, true
}

// rebuild rebuilds the newest document after a restore.
func (h *history) rebuild() error {
	last := len(h.versions) - 1
	tree, ok := h.document(uint64(last)) //nolint:gosec // An index is not negative.
	if !ok {
		return oops.In("configurator").Errorf("the document of version %d cannot be rebuilt", h.versions[last].GetNumber())
	}
	h.tree = tree
	return nil
}
