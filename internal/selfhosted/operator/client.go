// Package operator is the client side of the operators' interface: what the
// command line program micactl does once its arguments are read.
//
// It owns which node is asked, when the next one is asked in its place, and how
// answers are shown. It relies on the shapes of package api, and on language for
// the statements of a file.
package operator

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/micaplank/micaplank/internal/catalog"
	"github.com/micaplank/micaplank/internal/selfhosted/api"
)

const (
	// connectTimeout bounds the dialling of one node.
	connectTimeout = 2 * time.Second
	// answerGrace is how much longer than the node's own timeout the client
	// waits for the answer.
	responseGrace = 2 * time.Second
	// maximumAnswer bounds the size of an answer in bytes.
	maxResponseBytes = 256 << 20
)

// Client calls the HTTP interface of the nodes. It tries them in order, so
// that one reachable node is enough. It is safe for concurrent use.
type Client struct {
	nodes    []netip.AddrPort
	timeout  time.Duration
	operator string
	http     *http.Client
}

// NewClient returns a client of the nodes, of which there must be one or more.
// The timeout bounds the wait of a node for one command; the operator's name
// goes into the log of changes.
func NewClient(nodes []netip.AddrPort, timeout time.Duration, operator string) *Client {
	// Without kept connections the transport has none that the server may have
	// closed, and so no reason to send a request twice by itself.
	transport := &http.Transport{
		DisableKeepAlives: true,
		DialContext:       (&net.Dialer{Timeout: connectTimeout}).DialContext,
	}
	return &Client{nodes: nodes, timeout: timeout, operator: operator, http: &http.Client{Transport: transport}}
}

// ParseNodes reads node addresses, each an IP address with a port; one text
// may hold several, separated by commas.
func ParseNodes(texts []string) ([]netip.AddrPort, error) {
	var nodes []netip.AddrPort
	for _, text := range strings.Split(strings.Join(texts, ","), ",") {
		text = strings.TrimSpace(text)
		if text == "" {
			continue
		}
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, usageErrorf("%q is no node address: an IP address with a port is expected, such as 127.0.0.1:7201", text)
		}
		nodes = append(nodes, address)
	}
	if len(nodes) == 0 {
		return nil, usageErrorf("no node is named: use --node")
	}
	return nodes, nil
}

// NewToken returns a new token for a change or id for a request.
func NewToken() string { return ulid.Make().String() }

// Statement runs one statement. Under the same change id or token a change
// takes effect at most once, so it is sent to the next node also after an
// answer was lost. The node before may still be making the change then, so
// that a refusal of the next one leaves the fate unknown.
func (c *Client) Statement(ctx context.Context, statement, changeID string, dryRun bool) (*api.StatementResponse, error) {
	request := api.StatementRequest{
		Statement:           statement,
		Operator:            c.operator,
		ChangeID:            changeID,
		TimeoutMilliseconds: c.timeout.Milliseconds(),
		DryRun:              dryRun,
	}
	response := new(api.StatementResponse)
	unreachable, err := c.sendToNodes(ctx, nodeRequest{method: http.MethodPost, path: api.StatementsPath, body: request, resendable: true}, response)
	if unreachable == nil {
		return response, err
	}
	if err != nil {
		unreachable.Attempts = append(unreachable.Attempts, err)
		return nil, unreachable
	}
	if response.Fate == api.FateNotAccepted {
		response.Fate = api.FateUnknown
		response.Detail = unreachable.Error() + "; " + response.Detail
	}
	return response, nil
}

// Change asks for the fate of an earlier change by its id, or by its token
// alone.
func (c *Client) Change(ctx context.Context, id string) (*api.StatementResponse, error) {
	path := strings.Replace(api.ChangePath, "{id}", url.PathEscape(id), 1)
	path += "?" + api.TimeoutParameter + "=" + strconv.FormatInt(c.timeout.Milliseconds(), 10)
	response := new(api.StatementResponse)
	err := c.sendRequest(ctx, nodeRequest{method: http.MethodGet, path: path, resendable: true}, response)
	return response, err
}

// Status returns what one node knows of the deployment.
func (c *Client) Status(ctx context.Context) (*api.StatusResponse, error) {
	response := new(api.StatusResponse)
	return response, c.sendRequest(ctx, nodeRequest{method: http.MethodGet, path: api.StatusPath, resendable: true}, response)
}

// Catalog returns the catalog that one node holds.
func (c *Client) Catalog(ctx context.Context) (*catalog.Catalog, error) {
	var raw json.RawMessage
	if err := c.sendRequest(ctx, nodeRequest{method: http.MethodGet, path: api.CatalogPath, resendable: true}, &raw); err != nil {
		return nil, err
	}
	return catalog.Decode(raw)
}

// Drain starts the planned stop of a node.
func (c *Client) Drain(ctx context.Context, node string) (*api.DrainResponse, error) {
	path := strings.Replace(api.DrainPath, "{name}", url.PathEscape(node), 1)
	response := new(api.DrainResponse)
	return response, c.sendRequest(ctx, nodeRequest{method: http.MethodPost, path: path, resendable: true}, response)
}

// Query runs one query. It is sent to another node only if no connection to
// the one before could be made.
func (c *Client) Query(ctx context.Context, service string, request api.QueryRequest) (*api.QueryResponse, error) {
	path := strings.Replace(api.QueryPath, "{service}", url.PathEscape(service), 1)
	response := new(api.QueryResponse)
	return response, c.sendRequest(ctx, nodeRequest{method: http.MethodPost, path: path, body: request}, response)
}
