package breaker

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// ofALeaf stands for the name of a leaf of the deployment.
const ofALeaf = ""

// oddHeartbeats are messages of another writer that name no leaf to use: names and bodies. %d stands for a start that is later
// than that of the leaf.
var oddHeartbeats = []struct{ name, body string }{
	{"i-%FF%FE", `{"service":"files","address":"127.0.0.1:9","zone":"a","version":"v1","slots":2,"state":"ready","coldLeftMs":0,"seq":1,"born":1}`},
	{ofALeaf, `{"service":"shard0","address":"127.0.0.1:9","zone":"a","slots":2,"state":"ready","coldLeftMs":0,"seq":1,"born":%d}`},
	{ofALeaf, `{"service":"shard0","address":"127.0.0.1:99999","zone":"a","version":"v1","slots":2,"state":"ready","coldLeftMs":0,"seq":1,"born":%d}`},
	{ofALeaf, `{"service":"shard0","address":"127.0.0.1:9","zone":"a","version":"v1","slots":2,"state":"ready","coldLeftMs":0,"seq":1,"born":1%d0000000}`},
	{ofALeaf, `{"service":"shard0","slots":` + strings.Repeat("[", 20_000) + `%d`},
}

// oddTimeout limits one message of the other writer.
const oddTimeout = time.Second

// sendOddHeartbeat sends an odd heartbeat about some leaf to every control host. None of them may accept it.
func sendOddHeartbeat(b *Breaker, index int, _ time.Duration) error {
	odd := oddHeartbeats[index%len(oddHeartbeats)]
	name, body := odd.name, odd.body
	if name == ofALeaf {
		name = b.leaves[index%len(b.leaves)].Name()
		body = fmt.Sprintf(body, time.Now().UnixMilli())
	}
	for _, h := range b.deployment.Controls {
		accepted, err := putHeartbeat(h.Address, name, body)
		if err != nil {
			b.log(fmt.Sprintf("odd heartbeat to %s: %v", h.Name, err)) // The control host may be impaired.
		}
		if accepted {
			b.observer.RecordAccepted(h.Address, name)
		}
	}
	return nil
}

// putHeartbeat sends a heartbeat and reports whether the control host accepted it.
func putHeartbeat(control, name, body string) (bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), oddTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+control+"/instances/"+name, strings.NewReader(body))
	if err != nil {
		return false, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false, err
	}
	return response.StatusCode == http.StatusOK, response.Body.Close()
}
