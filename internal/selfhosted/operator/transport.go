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

// call is one request to whichever node can be reached.
type nodeRequest struct {
	method string
	path   string
	body   any
	// again allows the request to be sent to another node after it may have
	// reached one.
	resendable bool
}

func (c *Client) sendRequest(ctx context.Context, call nodeRequest, target any) error {
	_, err := c.sendToNodes(ctx, call, target)
	return err
}

// send makes the call. Besides the error of the last node it returns, if one
// before it may have received the request, the error that says so.
func (c *Client) sendToNodes(ctx context.Context, call nodeRequest, target any) (unreachableEarlier *UnreachableError, err error) {
	unreachable := &UnreachableError{}
	for _, node := range c.nodes {
		err := c.sendToNode(ctx, node, call, target)
		var problem *api.Problem
		if err == nil || errors.As(err, &problem) {
			return unreachable.nilUnlessSent(), err
		}
		sent := !isDialError(err)
		unreachable.Sent = unreachable.Sent || sent
		unreachable.Attempts = append(unreachable.Attempts, oops.In("operator").With("step", call.method+" "+call.path, "peer", node.String()).Wrapf(err, "node %s", node))
		if ctx.Err() != nil || (sent && !call.resendable) {
			break
		}
	}
	return nil, unreachable
}

func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

func (c *Client) sendToNode(ctx context.Context, node netip.AddrPort, call nodeRequest, target any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+responseGrace)
	defer cancel()
	request, err := newRequest(ctx, node, call)
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return unwrapURLError(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return err
	}
	if len(body) > maxResponseBytes {
		return fmt.Errorf("the answer is larger than %d bytes", maxResponseBytes)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return readProblem(response, body)
	}
	if err := json.Unmarshal(body, target); err != nil {
		return fmt.Errorf("the answer is not understood: %w", err)
	}
	return nil
}

// withoutURL drops the method and URL that net/http puts before an error.
func unwrapURLError(err error) error {
	var wrapped *url.Error
	if errors.As(err, &wrapped) {
		return wrapped.Err
	}
	return err
}

func newRequest(ctx context.Context, node netip.AddrPort, call nodeRequest) (*http.Request, error) {
	var body io.Reader
	if call.body != nil {
		encoded, err := json.Marshal(call.body)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, call.method, "http://"+node.String()+call.path, body)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

// asProblem reads a problem document. An error answer without one comes from
// something that is no node.
func readProblem(response *http.Response, body []byte) error {
	problem := new(api.Problem)
	isProblem := strings.HasPrefix(response.Header.Get("Content-Type"), api.ProblemContentType)
	if isProblem && json.Unmarshal(body, problem) == nil && problem.Title != "" {
		return problem
	}
	return fmt.Errorf("the answer has status %s and no problem document", response.Status)
}
