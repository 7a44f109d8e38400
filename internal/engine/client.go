package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"

	"github.com/samber/oops"

	"github.com/rhubarbhill/rhubarbhill/internal/network"
	"github.com/rhubarbhill/rhubarbhill/internal/wire"
)

// Headers and paths of the engine's HTTP interface.
const (
	HeaderWeightsSet = "X-Engine-Weights-Set"
	HeaderPriority   = "X-Priority"
	PathChat         = "/v1/chat/completions"
	pathSets         = "/engine/sets"
	pathOrders       = "/engine/orders"
)

const maxResponseBytes = 1 << 20

// Errors returned by Client. If Execute fails with any other error than
// ErrStaleFencingToken, ErrInvalidFiles or that of its precheck, the engine may
// have carried out the order.
var (
	ErrStaleFencingToken  = errors.New("engine refused a stale fencing token")
	ErrInvalidFiles       = errors.New("engine reports missing or corrupt files of the weights set")
	ErrUnreachable        = errors.New("engine is unreachable")
	ErrUnexpectedResponse = errors.New("unexpected response from engine")
)

// Status is an engine's report on its loaded sets.
type Status struct {
	FencingToken uint64           `json:"fence"`
	Sets         []wire.LoadedSet `json:"sets"`
	// Started is the start time of the engine process in Unix milliseconds. A
	// changed value means that the engine has restarted.
	Started int64 `json:"started"`
}

// Actions of an order.
const (
	ActionLoad   = "load"
	ActionUnload = "unload"
)

// Order tells an engine to load or unload a weights set. Engines that support
// fencing refuse an order whose fencing token is lower than one seen before.
type Order struct {
	FencingToken uint64   `json:"fence"`
	Action       string   `json:"action"`
	Set          OrderSet `json:"set"`
}

// OrderSet is the weights set of an order. Dir is the directory of its files.
type OrderSet struct {
	SetID    string         `json:"set_id"`
	Model    string         `json:"model"`
	Version  string         `json:"version"`
	Adapters []OrderAdapter `json:"adapters"`
	Dir      string         `json:"dir"`
}

// OrderAdapter is an adapter of an ordered set.
type OrderAdapter struct {
	Name    string `json:"name"`
	Version string `json:"version"`
}

// Client sends requests to one engine.
type Client struct {
	base    string
	network network.Network
	http    *http.Client
}

// New returns a client for the engine at the base URL.
func New(base string, n network.Network) *Client {
	return &Client{base: base, network: n, http: &http.Client{Transport: newTransport(n, nil)}}
}

// newTransport returns a transport whose connections discard undelivered bytes
// when they are closed. If guard is not nil, the transport serves a single order
// on a new connection, and guard is checked before the first write.
func newTransport(n network.Network, guard *writeGuard) *http.Transport {
	transport := network.HTTPTransport(n)
	transport.DisableKeepAlives = guard != nil
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, kind, address string) (net.Conn, error) {
		conn, err := dial(ctx, kind, address)
		if err != nil {
			return nil, err
		}
		discardOnClose(conn)
		if guard != nil {
			conn = &guardedConn{Conn: conn, guard: guard}
		}
		return conn, nil
	}
	return transport
}

// discardOnClose sets SO_LINGER to 0, so that closing the connection discards
// undelivered bytes. Otherwise the kernel would keep sending an order after its
// timeout, and an engine that ignores fencing tokens would carry it out.
func discardOnClose(conn net.Conn) {
	if c, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = c.SetLinger(0)
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Status requests the engine's status.
func (c *Client) Status(ctx context.Context) (Status, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+pathSets, nil)
	if err != nil {
		return Status{}, oops.In("engine").Wrap(err)
	}
	var status Status
	code, data, err := do(c.http, request)
	if err != nil {
		return status, err
	}
	if code != http.StatusOK || json.Unmarshal(data, &status) != nil {
		return Status{}, oops.In("engine").Wrapf(ErrUnexpectedResponse, "status request returned HTTP status %d", code)
	}
	return status, nil
}

// Execute sends an order and waits until the engine has carried it out.
// precheck is called once the connection is open, immediately before the order
// is written. If it returns an error, the order is not sent and Execute returns
// that error.
func (c *Client) Execute(ctx context.Context, order Order, precheck func() error) error {
	guard := &writeGuard{precheck: precheck}
	client := &http.Client{Transport: newTransport(c.network, guard)}
	status, data, err := c.post(ctx, client, pathOrders, order)
	if refused := guard.refusal(); refused != nil {
		return refused
	}
	switch {
	case err != nil:
		return err
	case status == http.StatusOK:
		return nil
	case status == http.StatusConflict:
		return oops.In("engine").Wrapf(ErrStaleFencingToken, "token %d: %s", order.FencingToken, bytes.TrimSpace(data))
	case status == http.StatusUnprocessableEntity:
		return oops.In("engine").Wrapf(ErrInvalidFiles, "%s", bytes.TrimSpace(data))
	}
	return oops.In("engine").Wrapf(ErrUnexpectedResponse, "order returned HTTP status %d", status)
}

// Probe requests one token from a loaded set. Success shows that the engine
// makes progress.
func (c *Client) Probe(ctx context.Context, set wire.LoadedSet) error {
	status, data, err := c.post(ctx, c.http, PathChat, map[string]any{
		"model":      set.Model,
		"messages":   []map[string]string{{"role": "user", "content": "."}},
		"max_tokens": 1,
	})
	if err != nil {
		return err
	}
	if status != http.StatusOK || !json.Valid(data) {
		return oops.In("engine").Wrapf(ErrUnexpectedResponse, "probe returned HTTP status %d", status)
	}
	return nil
}

func (c *Client) post(ctx context.Context, client *http.Client, path string, body any) (int, []byte, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, nil, oops.In("engine").Wrap(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(data))
	if err != nil {
		return 0, nil, oops.In("engine").Wrap(err)
	}
	request.GetBody = nil // prevents net/http from resending an order or probe
	request.Header.Set("Content-Type", "application/json")
	return do(client, request)
}

func do(client *http.Client, request *http.Request) (int, []byte, error) {
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	return response.StatusCode, data, nil
}
