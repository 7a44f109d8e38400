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

// Names of the engine interface.
const (
	HeaderWeightsSet = "X-Engine-Weights-Set"
	HeaderPriority   = "X-Priority"
	PathChat         = "/v1/chat/completions"
	pathSets         = "/engine/sets"
	pathOrders       = "/engine/orders"
)

const maxResponseBytes = 1 << 20

// Errors of this package. Any other error of Order leaves it open whether the
// engine carried the order out.
var (
	ErrStaleFencingToken   = errors.New("engine refused an old fencing token")
	ErrInvalidFiles = errors.New("engine found files of the set missing or corrupt")
	ErrUnreachable  = errors.New("engine does not answer")
	ErrUnexpectedResponse  = errors.New("engine answered something unexpected")
)

// Status is an engine's report on what it has loaded.
type Status struct {
	FencingToken uint64           `json:"fence"`
	Sets  []wire.LoadedSet `json:"sets"`
	// Started is the engine's start, Unix milliseconds. It differs after a
	// restart.
	Started int64 `json:"started"`
}

// Actions of an order.
const (
	ActionLoad   = "load"
	ActionUnload = "unload"
)

// Order commands an engine. Fence is its fencing token.
type Order struct {
	FencingToken  uint64   `json:"fence"`
	Action string   `json:"action"`
	Set    OrderSet `json:"set"`
}

// OrderSet is the weights set of an order; Dir holds its files.
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

// Client talks to one engine.
type Client struct {
	base    string
	network network.Network
	http    *http.Client
}

// New returns a client for the engine at the URL base.
func New(base string, n network.Network) *Client {
	return &Client{base: base, network: n, http: &http.Client{Transport: newTransport(n, nil)}}
}

// newTransport returns a transport whose connections discard undelivered bytes
// when they are closed. With a permission it serves one order: a connection of
// its own, whose first write asks.
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

// discardOnClose drops bytes that were not delivered when the connection is
// closed. Otherwise the kernel goes on sending an order after its timeout,
// which an engine that ignores fencing tokens would obey.
func discardOnClose(conn net.Conn) {
	if c, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = c.SetLinger(0)
	}
}

// Close releases idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Status asks what the engine has loaded.
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
		return Status{}, oops.In("engine").Wrapf(ErrUnexpectedResponse, "set report has status %d", code)
	}
	return status, nil
}

// Execute sends a command and waits until the engine has carried it out. permit
// is called immediately before the command is written, once there is a
// connection; its error keeps the command from being sent and is returned.
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
	return oops.In("engine").Wrapf(ErrUnexpectedResponse, "order has status %d", status)
}

// Probe generates one token with a loaded set, which shows that the engine
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
		return oops.In("engine").Wrapf(ErrUnexpectedResponse, "probe has status %d", status)
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
	request.GetBody = nil // an order or probe is never resent by net/http
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
