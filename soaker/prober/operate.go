package prober

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// operatorTimeout limits one operator request.
const operatorTimeout = 1500 * time.Millisecond

// SendConfigurations sends configurations with increasing versions and reads them back until ctx ends.
func (p *Prober) SendConfigurations(ctx context.Context, interval time.Duration) {
	for version := 1; ctx.Err() == nil; version += 1 + version%3 {
		p.PutConfiguration(ctx, version)
		p.CheckConfigurations(ctx, version)
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
}

// PutConfiguration sends one configuration to the control hosts in turn until one of them acknowledges it.
func (p *Prober) PutConfiguration(ctx context.Context, version int) {
	body := p.document(version)
	p.mu.Lock()
	p.documents[version] = body
	p.mu.Unlock()
	for i := 0; ctx.Err() == nil; i++ {
		status, text, err := p.sendOperatorRequest(ctx, http.MethodPut, p.config.Controls[(version+i)%len(p.config.Controls)], body)
		switch {
		case err == nil && status == http.StatusOK:
			p.mu.Lock()
			p.acknowledged = max(p.acknowledged, version)
			p.mu.Unlock()
			return
		case err == nil && status/100 == 4:
			p.addViolation("configuration %d was rejected with status %d: %s", version, status, text)
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// CheckConfigurations reads the configuration from every control host, starting at index first modulo the number of
// hosts, and reports whether any host returned one. It is a violation if a host returns an older version than was
// acknowledged before the read, or a configuration that was never sent.
func (p *Prober) CheckConfigurations(ctx context.Context, first int) (answered bool) {
	for i := range p.config.Controls {
		p.mu.Lock()
		acknowledged := p.acknowledged
		p.mu.Unlock()
		control := p.config.Controls[(first+i)%len(p.config.Controls)]
		status, body, err := p.sendOperatorRequest(ctx, http.MethodGet, control, nil)
		if err != nil || status != http.StatusOK {
			continue
		}
		answered = true
		var received struct {
			Version int `json:"version"`
		}
		if err := json.Unmarshal(body, &received); err != nil {
			p.addViolation("control host %s returned an unreadable configuration: %v", control, err)
			continue
		}
		p.mu.Lock()
		document := p.documents[received.Version]
		p.mu.Unlock()
		if received.Version < acknowledged {
			p.addViolation("control host %s returned configuration %d, but %d was acknowledged", control, received.Version, acknowledged)
		}
		if !bytes.Equal(body, document) {
			p.addViolation("control host %s returned other content than was sent for configuration %d", control, received.Version)
		}
	}
	return answered
}

func (p *Prober) sendOperatorRequest(ctx context.Context, method, control string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+control+"/config", bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, fmt.Errorf("%s %s: %w", method, control, err)
	}
	defer func() { _ = response.Body.Close() }()
	out, err := io.ReadAll(response.Body)
	return response.StatusCode, out, err
}
