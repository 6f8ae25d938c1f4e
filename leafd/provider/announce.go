package provider

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// ackTime is how long a leaf waits for the acknowledgement of a heartbeat before it turns to the next control host.
const ackTime = time.Second

// announce sends heartbeats until ctx ends.
func (l *Leaf) announce(ctx context.Context) {
	for {
		l.tell(ctx, http.MethodPut)
		select {
		case <-ctx.Done():
			return
		case <-time.After(l.config.Interval):
		}
	}
}

// Drain says that the leaf leaves, until a control host acknowledges it. It returns the time of the acknowledgement.
func (l *Leaf) Drain(ctx context.Context) time.Time {
	l.mu.Lock()
	l.draining = true
	l.mu.Unlock()
	return l.until(ctx, http.MethodPut)
}

// Leave says that the leaf has left, until a control host acknowledges it. It returns the time of the acknowledgement.
func (l *Leaf) Leave(ctx context.Context) time.Time {
	return l.until(ctx, http.MethodDelete)
}

func (l *Leaf) until(ctx context.Context, method string) time.Time {
	for ctx.Err() == nil {
		if l.tell(ctx, method) {
			return time.Now()
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Time{}
}

// tell sends one heartbeat to the control host that was named last, or else to the others in turn.
func (l *Leaf) tell(ctx context.Context, method string) bool {
	l.mu.Lock()
	l.sequence++
	state := "ready"
	if l.draining {
		state = "draining"
	}
	body, _ := json.Marshal(map[string]any{
		"service": l.config.Service, "address": l.config.Address.String(), "zone": l.config.Center, "version": "v1",
		"slots": l.config.Slots, "state": state, "coldLeftMs": 0, "seq": l.sequence, "born": l.born,
	})
	next, offset := l.next, int(l.sequence) //nolint:gosec // A small number.
	l.mu.Unlock()
	if next != "" && l.send(ctx, method, next, body) {
		return true
	}
	controls := l.config.Controls()
	for i := range controls {
		if l.send(ctx, method, controls[(i+offset)%len(controls)], body) {
			return true
		}
	}
	return false
}

// send calls one control host and takes over the address that it names.
func (l *Leaf) send(ctx context.Context, method, address string, body []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, ackTime)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/instances/"+l.config.Name, bytes.NewReader(body))
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		l.name("")
		return false
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	var reply struct {
		HeartbeatAddress string `json:"heartbeatAddress"`
	}
	if err != nil || response.StatusCode/100 != 2 {
		l.name("")
		return false
	}
	if json.Unmarshal(data, &reply) == nil {
		l.name(reply.HeartbeatAddress)
	}
	return true
}

// name notes the address for later heartbeats.
func (l *Leaf) name(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next = address
}
