package router_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"lycheelift.example/lib/router"
)

func route(name, host, prefix, service string) router.Route {
	return router.Route{
		Name: name, Host: host, Prefix: prefix, Timeout: time.Second, Attempts: 2,
		Split: []router.Share{{Service: service, Weight: 1}},
	}
}

func ExampleTable_Find() {
	table := router.NewTable(&router.Document{Version: 3, Routes: []router.Route{
		route("all", "names.example", "/", "files"),
		route("checks", "names.example", "/checks/", "desk"),
	}})
	r, _ := table.Find("names.example:8080", "/checks/17")
	fmt.Println(r.Name)
	r, _ = table.Find("names.example", "/other")
	fmt.Println(r.Name)
	// Output:
	// checks
	// all
}

// Guards against accepting an invalid document, and against reporting only its first fault.
func TestCheckListsEveryFault(t *testing.T) {
	d := router.Document{Version: 1, Services: []router.Service{{Name: "a"}}, Routes: []router.Route{
		route("one", "h", "/p/", "a"),
		route("two", "H", "/p/", "b"),
		{Name: "three", Host: "h", Prefix: "/q/", Split: []router.Share{{Service: "a"}}},
		{Name: "four", Host: "h", Prefix: "/r", Timeout: time.Second, Gather: []string{"a", "c"}},
	}}
	err := d.Check()
	qt.Assert(t, err, qt.ErrorIs, router.ErrDocument)
	var faults router.Faults
	qt.Assert(t, errors.As(err, &faults), qt.IsTrue)
	qt.Assert(t, []string(faults), qt.DeepEquals, []string{
		`route "two": unknown service "b"`,
		`routes "one" and "two" have the same host and prefix`,
		`route "three": timeout must be above 0`,
		`route "three": no service with a weight above 0`,
		`route "four": prefix "/r" must begin and end with a slash`,
		`route "four": unknown service "c"`,
	})
}

// Guards against a split that sends requests to a service with weight 0, or in a proportion that differs from the
// weights.
func TestPickFollowsTheWeights(t *testing.T) {
	r := router.Route{Split: []router.Share{{"a", 1}, {"none", 0}, {"b", 3}}}
	counts := make(map[string]int)
	const draws = 1000
	for i := range draws {
		counts[r.Pick(float64(i)/draws)]++
	}
	qt.Assert(t, counts, qt.DeepEquals, map[string]int{"a": 250, "b": 750})
}
