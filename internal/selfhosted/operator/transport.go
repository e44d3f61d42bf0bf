package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strings"

	"github.com/samber/oops"

	"github.com/micaplank/micaplank/internal/selfhosted/api"
)

// nodeRequest is a request that any node can handle.
type nodeRequest struct {
	method string
	path   string
	body   any
	// resendable allows sending the request to the next node after it may have reached
	// an earlier one.
	resendable bool
}

// sendRequest sends the request to the first node that responds and decodes the response.
func (c *Client) sendRequest(ctx context.Context, request nodeRequest, target any) error {
	_, err := c.sendToNodes(ctx, request, target)
	return err
}

// sendToNodes sends the request to the nodes in order until one responds. If the request may
// have reached a node before that one, sendToNodes also returns the errors of those nodes.
func (c *Client) sendToNodes(ctx context.Context, request nodeRequest, target any) (earlierFailures *UnreachableError, err error) {
	unreachable := &UnreachableError{}
	for _, node := range c.nodes {
		err := c.sendToNode(ctx, node, request, target)
		var problem *api.Problem
		if err == nil || errors.As(err, &problem) {
			return unreachable.nilIfUnsent(), err
		}
		sent := !isDialError(err)
		unreachable.Sent = unreachable.Sent || sent
		unreachable.Attempts = append(unreachable.Attempts, oops.In("operator").With("step", request.method+" "+request.path, "peer", node.String()).Wrapf(err, "node %s", node))
		if ctx.Err() != nil || (sent && !request.resendable) {
			break
		}
	}
	return nil, unreachable
}

// isDialError reports whether the connection could not be established, so that no part of
// the request was sent.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// sendToNode sends the request to one node. A problem document becomes a *api.Problem.
func (c *Client) sendToNode(ctx context.Context, node netip.AddrPort, request nodeRequest, target any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+responseGrace)
	defer cancel()
	httpRequest, err := newHTTPRequest(ctx, node, request)
	if err != nil {
		return err
	}
	response, err := c.httpClient.Do(httpRequest)
	if err != nil {
		return unwrapURLError(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return err
	}
	if len(body) > maxResponseBytes {
		return fmt.Errorf("the response is larger than %d bytes", maxResponseBytes)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return readProblem(response, body)
	}
	if err := json.Unmarshal(body, target); err != nil {
		return fmt.Errorf("decode response: %w", err)
	}
	return nil
}

// unwrapURLError removes the method and the URL that net/http adds to an error.
func unwrapURLError(err error) error {
	var wrapped *url.Error
	if errors.As(err, &wrapped) {
		return wrapped.Err
	}
	return err
}

func newHTTPRequest(ctx context.Context, node netip.AddrPort, request nodeRequest) (*http.Request, error) {
	var body io.Reader
	if request.body != nil {
		encoded, err := json.Marshal(request.body)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(encoded)
	}
	httpRequest, err := http.NewRequestWithContext(ctx, request.method, "http://"+node.String()+request.path, body)
	if err != nil {
		return nil, err
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	return httpRequest, nil
}

// readProblem decodes the problem document of an error response. A response without one was
// not sent by a node.
func readProblem(response *http.Response, body []byte) error {
	problem := new(api.Problem)
	isProblem := strings.HasPrefix(response.Header.Get("Content-Type"), api.ProblemContentType)
	if isProblem && json.Unmarshal(body, problem) == nil && problem.Title != "" {
		return problem
	}
	return fmt.Errorf("the answer has status %s and no problem document", response.Status)
}
