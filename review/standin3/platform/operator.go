package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// operator sends manifests, as the pages describe: to any node of the control plane, and again while there is no clear answer.
type operator struct {
	rec    *record
	nodes  func() []string
	client http.Client
	next   int
}

func newOperator(rec *record, nodes func() []string) *operator {
	return &operator{rec: rec, nodes: nodes, client: http.Client{Timeout: time.Second}}
}

// route is a route of a manifest.
type route struct {
	Name        string `json:"name"`
	Host        string `json:"host"`
	PathPrefix  string `json:"pathPrefix"`
	Kind        string `json:"kind"`
	TimeoutMs   int    `json:"timeoutMs"`
	SloMs       int    `json:"sloMs"`
	Priority    int    `json:"priority"`
	Service     string `json:"service"`
	MaxAttempts int    `json:"maxAttempts"`
	Affinity    bool   `json:"sessionAffinity"`
	Resumable   bool   `json:"resumable"`
	ItlSloMs    int    `json:"itlSloMs"`
}

// service is a service of a manifest.
type service struct {
	Name       string         `json:"name"`
	HealthPath string         `json:"healthPath"`
	MaxConns   int            `json:"maxConns"`
	Protocol   string         `json:"protocol"`
	TLS        bool           `json:"tls"`
	Engine     map[string]any `json:"engine,omitempty"`
}

// manifest is the operator's configuration.
type manifest struct {
	Version  uint64         `json:"version"`
	Routes   []route        `json:"routes"`
	Services []service      `json:"services"`
	Limits   map[string]int `json:"limits"`
}

// usualLimits are those of the example in the pages.
var usualLimits = map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerMs": 3000, "idleMs": 15000}

// engineOf describes the engines of a model service.
func engineOf() map[string]any {
	return map[string]any{"slots": 48, "kvCapacity": 656048, "kvTokenBytes": 18432, "linkMbps": 370000.0, "moves": false, "backups": false, "retentionS": 5.0, "swapS": 3.0, "models": []any{map[string]any{"name": "m"}}}
}

// put sends a manifest until it is acknowledged or refused, at most until the deadline.
func (o *operator) put(m manifest, deadline time.Time) error {
	body, err := json.Marshal(m)
	if err != nil {
		return err
	}
	for time.Now().Before(deadline) {
		status, text := o.call(http.MethodPut, body)
		if status == http.StatusOK {
			o.rec.line("manifest %d acknowledged", m.Version)
			return nil
		}
		if status >= 400 && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests {
			return fmt.Errorf("manifest %d refused: %d %s", m.Version, status, text)
		}
		time.Sleep(150 * time.Millisecond)
	}
	return errors.New("no manifest was acknowledged in time")
}

// call sends one call to the next node. Its status is 0 without an answer.
func (o *operator) call(method string, body []byte) (int, string) {
	nodes := o.nodes()
	addr := nodes[o.next%len(nodes)]
	o.next++
	req, err := http.NewRequest(method, "http://"+addr+"/-/config", strings.NewReader(string(body)))
	if err != nil {
		return 0, err.Error()
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := o.client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(text)
}
