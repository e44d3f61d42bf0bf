// Package operator is the client of the operators' interface. It implements the commands of
// the program micactl after its arguments are parsed.
//
// The package decides which node receives a request, when the request is sent to the next
// node instead, and how responses are printed. Package api defines the documents and package
// language parses statements.
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
	// connectTimeout limits the time to connect to a node.
	connectTimeout = 2 * time.Second
	// responseGrace is the time that the client waits for a response beyond the timeout
	// of the node, so that the node can report the timeout itself.
	responseGrace = 2 * time.Second
	// maxResponseBytes is the maximum size of a response.
	maxResponseBytes = 256 << 20
)

// Client sends requests to the HTTP interface of the nodes. It tries the nodes in order, so
// that one reachable node is enough. It is safe for concurrent use.
type Client struct {
	nodes      []netip.AddrPort
	timeout    time.Duration
	operator   string
	httpClient *http.Client
}

// NewClient returns a client of one or more nodes. The timeout limits how long a node waits
// for one command. The name of the operator is recorded in the log of changes.
func NewClient(nodes []netip.AddrPort, timeout time.Duration, operator string) *Client {
	// http.Transport resends a request on its own if a reused connection turns out to be
	// closed. A new connection per request prevents that.
	transport := &http.Transport{
		DisableKeepAlives: true,
		DialContext:       (&net.Dialer{Timeout: connectTimeout}).DialContext,
	}
	return &Client{nodes: nodes, timeout: timeout, operator: operator, httpClient: &http.Client{Transport: transport}}
}

// ParseNodes parses node addresses, each an IP address with a port. One text may hold
// several addresses, separated by commas.
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

// NewToken returns a new token for a change, or a new id for a request.
func NewToken() string { return ulid.Make().String() }

// Statement runs one statement. A change takes effect at most once under the same change id
// or token, so the statement is sent to the next node even after a response was lost. The
// earlier node may still make the change, so a refusal by the next node leaves the fate of
// the change unknown.
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
	if response.Outcome == api.ChangeNotAccepted {
		response.Outcome = api.ChangeOutcomeUnknown
		response.Detail = unreachable.Error() + "; " + response.Detail
	}
	return response, nil
}

// Change returns the fate of an earlier change, which is named by its id or its token.
func (c *Client) Change(ctx context.Context, id string) (*api.StatementResponse, error) {
	path := strings.Replace(api.ChangePath, "{id}", url.PathEscape(id), 1)
	path += "?" + api.TimeoutParameter + "=" + strconv.FormatInt(c.timeout.Milliseconds(), 10)
	response := new(api.StatementResponse)
	err := c.sendRequest(ctx, nodeRequest{method: http.MethodGet, path: path, resendable: true}, response)
	return response, err
}

// Status returns the status of the deployment as one node knows it.
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

// Query runs one query. The query is sent to the next node only if the connection to the
// previous one could not be established, since a query may not be idempotent.
func (c *Client) Query(ctx context.Context, service string, request api.QueryRequest) (*api.QueryResponse, error) {
	path := strings.Replace(api.QueryPath, "{service}", url.PathEscape(service), 1)
	response := new(api.QueryResponse)
	return response, c.sendRequest(ctx, nodeRequest{method: http.MethodPost, path: path, body: request}, response)
}
