package provider

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// ackTimeout is how long a leaf waits for the acknowledgement of a heartbeat before it tries the next control host.
const ackTimeout = time.Second

// sendHeartbeats sends heartbeats until ctx is cancelled.
func (l *Leaf) sendHeartbeats(ctx context.Context) {
	for {
		l.sendHeartbeat(ctx, http.MethodPut)
		select {
		case <-ctx.Done():
			return
		case <-time.After(l.config.HeartbeatInterval):
		}
	}
}

// Drain reports that the leaf is draining, and repeats this until a control host acknowledges it. It returns the time of
// the acknowledgement, or the zero time if ctx was cancelled first.
func (l *Leaf) Drain(ctx context.Context) time.Time {
	l.mu.Lock()
	l.draining = true
	l.mu.Unlock()
	return l.heartbeatUntilAcknowledged(ctx, http.MethodPut)
}

// Return starts the next incarnation of a leaf that has drained, under the same name and address.
func (l *Leaf) Return() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.startMs, l.sequence, l.draining = time.Now().UnixMilli(), 0, false
}

// Leave reports that the leaf has left, and repeats this until a control host acknowledges it. It returns the time of
// the acknowledgement, or the zero time if ctx was cancelled first.
func (l *Leaf) Leave(ctx context.Context) time.Time {
	return l.heartbeatUntilAcknowledged(ctx, http.MethodDelete)
}

func (l *Leaf) heartbeatUntilAcknowledged(ctx context.Context, method string) time.Time {
	for ctx.Err() == nil {
		if l.sendHeartbeat(ctx, method) {
			return time.Now()
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Time{}
}

// sendHeartbeat sends one heartbeat to the control host named in the last acknowledgement, or else to each control host
// in turn until one acknowledges it.
func (l *Leaf) sendHeartbeat(ctx context.Context, method string) bool {
	l.mu.Lock()
	l.sequence++
	state := "ready"
	if l.draining {
		state = "draining"
	}
	body, _ := json.Marshal(map[string]any{
		"service": l.config.Service, "address": l.config.Address.String(), "zone": l.config.Center, "version": l.config.Program,
		"slots": l.config.Slots, "state": state, "coldLeftMs": 0, "seq": l.sequence, "born": l.startMs,
	})
	next, offset := l.nextControl, int(l.sequence) //nolint:gosec // A small number.
	l.mu.Unlock()
	if next != "" && l.sendTo(ctx, method, next, body) {
		return true
	}
	controls := l.config.Controls()
	for i := range controls {
		if l.sendTo(ctx, method, controls[(i+offset)%len(controls)], body) {
			return true
		}
	}
	return false
}

// sendTo sends a heartbeat to one control host and stores the address that it names for later heartbeats.
func (l *Leaf) sendTo(ctx context.Context, method, address string, body []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/instances/"+l.config.Name, bytes.NewReader(body))
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		l.setNextControl("")
		return false
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	var reply struct {
		HeartbeatAddress string `json:"heartbeatAddress"`
	}
	if err != nil || response.StatusCode/100 != 2 {
		l.setNextControl("")
		return false
	}
	if json.Unmarshal(data, &reply) == nil {
		l.setNextControl(reply.HeartbeatAddress)
	}
	return true
}

func (l *Leaf) setNextControl(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nextControl = address
}
