package breaker

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// ofALeaf stands for the name of a leaf of the deployment.
const ofALeaf = ""

// oddHeartbeats are messages of another writer that name no leaf to use: names and bodies. %d stands for a start that is later
// than that of the leaf.
var oddHeartbeats = []struct{ path, body string }{
	{"i-%FF%FE", `{"service":"files","address":"127.0.0.1:9","zone":"a","version":"v1","slots":2,"state":"ready","coldLeftMs":0,"seq":1,"born":1}`},
	{ofALeaf, `{"service":"shard0","address":"127.0.0.1:9","zone":"a","slots":2,"state":"ready","coldLeftMs":0,"seq":1,"born":%d}`},
	{ofALeaf, `{"service":"shard0","address":"127.0.0.1:99999","zone":"a","version":"v1","slots":2,"state":"ready","coldLeftMs":0,"seq":1,"born":%d}`},
	{ofALeaf, `{"service":"shard0","address":"127.0.0.1:9","zone":"a","version":"v1","slots":2,"state":"ready","coldLeftMs":0,"seq":1,"born":1%d0000000}`},
	{ofALeaf, `{"service":"shard0","slots":` + strings.Repeat("[", 20_000) + `%d`},
}

// oddTimeout limits one message of the other writer.
const oddTimeout = time.Second

// sendOddHeartbeat sends an odd heartbeat about some leaf to every control host. It is an error if one of them accepts it.
func sendOddHeartbeat(b *Breaker, index int, _ time.Duration) error {
	odd, name := oddHeartbeats[index%len(oddHeartbeats)], b.leaves[index%len(b.leaves)].Name()
	path, body := odd.path, odd.body
	if path == ofALeaf {
		path, body = name, fmt.Sprintf(body, time.Now().UnixMilli())
	}
	var failed error
	for _, h := range b.deployment.Controls {
		failed = errors.Join(failed, putHeartbeat(h.Address, path, body))
	}
	return failed
}

func putHeartbeat(control, path, body string) error {
	ctx, cancel := context.WithTimeout(context.Background(), oddTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+control+"/instances/"+path, strings.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil //nolint:nilerr // The control host may be impaired.
	}
	_ = response.Body.Close()
	if response.StatusCode/100 == 2 {
		return fmt.Errorf("control host %s accepted the heartbeat %q", control, path)
	}
	return nil
}
