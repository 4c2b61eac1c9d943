package orderer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/core/orders"
)

// errTermEnded reports an order that was not sent because the lease term had ended.
var errTermEnded = errors.New("lease term ended before the order was sent")

// endpointClient is a client of the engine protocol, which docs/platform.md describes.
type endpointClient struct {
	http *http.Client
}

type stateResponse struct {
	Models []modelMessage `json:"models"`
	Role   string         `json:"role"`
}

type modelMessage struct {
	Model      string   `json:"model"`
	Version    string   `json:"version"`
	Adapters   []string `json:"adapters"`
	Ready      bool     `json:"ready"`
	Generation int64    `json:"generation"`
}

type orderRequest struct {
	Version    string   `json:"version"`
	Adapters   []string `json:"adapters,omitempty"`
	Role       string   `json:"role,omitempty"`
	Generation int64    `json:"generation"`
	Fencing    *int64   `json:"fencing,omitempty"`
}

// state returns the state of the models at an endpoint, by model name.
func (c endpointClient) state(ctx context.Context, addr string) (map[string]orders.ModelState, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/engine/v1/state", nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("state of the endpoint: status %d", resp.StatusCode)
	}
	var body stateResponse
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxStateBytes)).Decode(&body); err != nil {
		return nil, errors.Wrap(err, "state of the endpoint")
	}
	models := make(map[string]orders.ModelState, len(body.Models))
	for _, m := range body.Models {
		models[m.Model] = orders.ModelState{
			Target:     orders.Target{Version: m.Version, Adapters: m.Adapters},
			Ready:      m.Ready,
			Generation: m.Generation,
		}
	}
	return models, nil
}

// sendOrder sends an order once, if maySend still returns true. After any error but errTermEnded, it is unknown whether the endpoint has
// accepted the order.
func (c endpointClient) sendOrder(ctx context.Context, addr string, o orders.Order, maySend func() bool) error {
	req, err := newOrderRequest(ctx, addr, o)
	if err != nil {
		return err
	}
	if !maySend() {
		return errTermEnded
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("endpoint refused the order: status %d", resp.StatusCode)
	}
	return nil
}

func newOrderRequest(ctx context.Context, addr string, o orders.Order) (*http.Request, error) {
	target := url.URL{Scheme: "http", Host: addr, Path: "/engine/v1/orders/" + o.Model, RawPath: "/engine/v1/orders/" + url.PathEscape(o.Model)}
	if o.Unload {
		q := url.Values{"generation": {strconv.FormatInt(o.Generation, 10)}}
		if o.FencingToken != 0 {
			q.Set("fencing", strconv.FormatInt(o.FencingToken, 10))
		}
		target.RawQuery = q.Encode()
		return http.NewRequestWithContext(ctx, http.MethodDelete, target.String(), nil)
	}
	body := orderRequest{Version: o.Target.Version, Adapters: o.Target.Adapters, Role: o.Target.Role, Generation: o.Generation}
	if o.FencingToken != 0 {
		body.Fencing = &o.FencingToken
	}
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, target.String(), bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	// Without GetBody, net/http cannot send the order a second time when a reused connection breaks.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}
