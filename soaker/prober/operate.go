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

// operateTime bounds one order of the operator.
const operateTime = 1500 * time.Millisecond

// Configure sends configurations of growing versions and reads them back, until ctx ends.
func (p *Prober) Configure(ctx context.Context, interval time.Duration) {
	for version := 1; ctx.Err() == nil; version += 1 + version%3 {
		p.Put(ctx, version)
		p.Read(ctx, version)
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
}

// Put sends one configuration to one control host after the other until it is acknowledged.
func (p *Prober) Put(ctx context.Context, version int) {
	body := p.document(version)
	p.mu.Lock()
	p.sent[version] = body
	p.mu.Unlock()
	for i := 0; ctx.Err() == nil; i++ {
		status, text, err := p.order(ctx, http.MethodPut, p.config.Controls[(version+i)%len(p.config.Controls)], body)
		switch {
		case err == nil && status == http.StatusOK:
			p.mu.Lock()
			p.acked = max(p.acked, version)
			p.mu.Unlock()
			return
		case err == nil && status/100 == 4:
			p.fault("configuration %d is refused with %d: %s", version, status, text)
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// Read reads the configuration from every control host. An older one than was acknowledged before the question is a
// fault, as is one that was never sent.
func (p *Prober) Read(ctx context.Context, number int) (certain bool) {
	for i := range p.config.Controls {
		p.mu.Lock()
		acked := p.acked
		p.mu.Unlock()
		control := p.config.Controls[(number+i)%len(p.config.Controls)]
		status, body, err := p.order(ctx, http.MethodGet, control, nil)
		if err != nil || status != http.StatusOK {
			continue
		}
		certain = true
		var head struct {
			Version int `json:"version"`
		}
		if err := json.Unmarshal(body, &head); err != nil {
			p.fault("%s answers a configuration that cannot be read: %v", control, err)
			continue
		}
		p.mu.Lock()
		sent := p.sent[head.Version]
		p.mu.Unlock()
		if head.Version < acked {
			p.fault("%s answers configuration %d, but %d was acknowledged", control, head.Version, acked)
		}
		if !bytes.Equal(body, sent) {
			p.fault("%s answers another content for configuration %d", control, head.Version)
		}
	}
	return certain
}

func (p *Prober) order(ctx context.Context, method, control string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, operateTime)
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
