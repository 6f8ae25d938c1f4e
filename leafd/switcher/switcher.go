// Package switcher is the HTTP control interface of a process of stand-ins: tests change their behaviour and read their
// records over it.
package switcher

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/samber/oops"

	"lycheelift.example/leafd/leaf"
	backendv1 "lycheelift.example/schema/gen/lycheelift/backend/v1"
)

// Handler serves GET /record, and POST /behave, /chill, /state and /hold for the leaves whose name begins with ?leaf=.
func Handler(leaves []*leaf.Leaf) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /record", func(w http.ResponseWriter, _ *http.Request) {
		out := make([]leaf.Record, 0, len(leaves))
		for _, l := range leaves {
			out = append(out, l.Record())
		}
		_ = json.NewEncoder(w).Encode(out)
	})
	forEachLeaf := func(pattern string, f func(*leaf.Leaf, *http.Request) error) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			for _, l := range leaves {
				if !strings.HasPrefix(l.Record().Leaf, r.URL.Query().Get("leaf")) {
					continue
				}
				if err := f(l, r); err != nil {
					http.Error(w, err.Error(), http.StatusBadRequest)
					return
				}
			}
		})
	}
	forEachLeaf("POST /behave", setBehaviour)
	forEachLeaf("POST /chill", func(l *leaf.Leaf, _ *http.Request) error { l.MakeCold(); return nil })
	forEachLeaf("POST /state", func(l *leaf.Leaf, r *http.Request) error {
		l.SetState(backendv1.State(backendv1.State_value["STATE_"+strings.ToUpper(r.URL.Query().Get("state"))]))
		return nil
	})
	forEachLeaf("POST /hold", setSnapshot)
	return mux
}

// setSnapshot moves every holding to the snapshot in the query parameter "snapshot", as a new index version does.
func setSnapshot(l *leaf.Leaf, r *http.Request) error {
	snapshot, err := strconv.ParseUint(r.URL.Query().Get("snapshot"), 10, 64)
	if err != nil {
		return oops.In("switcher").Wrapf(err, "snapshot")
	}
	l.SetSnapshot(snapshot)
	return nil
}

// setBehaviour overwrites the fields of the behaviour that are set in the JSON of the query parameter "set".
func setBehaviour(l *leaf.Leaf, r *http.Request) error {
	var err error
	l.UpdateBehaviour(func(b *leaf.Behaviour) {
		err = json.Unmarshal([]byte(r.URL.Query().Get("set")), b)
	})
	return err
}
