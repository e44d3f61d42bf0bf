package node

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/samber/oops"

	"github.com/micaplank/micaplank/internal/event"
	"github.com/micaplank/micaplank/internal/intake"
)

// defaultHeaderTimeout bounds the time that a client may take to send its headers if the
// configuration in force sets no limit. It only bounds how long a silent client occupies a
// connection.
const defaultHeaderTimeout = 10 * time.Second

// minHeadBytes is the size up to which a head is read and answered by the limit in force. Above it, and
// above that limit, package http answers 431 without reading on. A connection keeps the limit that was
// in force when it was accepted, and a later configuration may allow more.
const minHeadBytes = 64 << 10

// The bounds on the clients of the addresses for the platform and for monitoring.
const (
	internalConnections = 64
	internalBytes       = 4 << 20
)

// endpoint is an address, the handler that serves it, and the bounds on its clients.
type endpoint struct {
	address netip.AddrPort
	handler http.Handler
	guard   *intake.Guard
}

// endpoints returns the addresses that clients and the platform use. An endpoint without a valid
// address is not served.
func (n *Node) endpoints() []endpoint {
	return []endpoint{
		{n.settings.Listen.HTTP, n.ports.Handler(n), n.newClientGuard()},
		{n.settings.Listen.Ready, readyHandler(n.ports.ReadyPath, n.isReady), n.newInternalGuard()},
		{n.settings.Listen.Metrics, metricsHandler(n.metricsRegistry.Handler()), n.newInternalGuard()},
	}
}

// newClientGuard returns the bounds on clients: those of the settings, or else what the machine bears.
func (n *Node) newClientGuard() *intake.Guard {
	connections, bytes := intake.Limits(n.settings.Process.MemoryBytes, n.settings.Process.MaxDescriptors)
	guard := intake.NewGuard(intake.Config{
		Connections: cmp.Or(n.settings.Forward.ClientConnections, connections),
		Bytes:       cmp.Or(n.settings.Forward.ClientBytes, bytes),
		LargestRequest: func() int64 {
			limits := n.Limits()
			return intake.RequestCost(int64(limits.HeaderBytes), limits.BodyBytes)
		},
		OnClose: n.recordClosedClient,
	})
	n.metrics.clients.Store(guard)
	return guard
}

func (n *Node) newInternalGuard() *intake.Guard {
	return intake.NewGuard(intake.Config{Connections: internalConnections, Bytes: internalBytes, OnClose: n.recordClosedClient})
}

// recordClosedClient counts a connection that was closed because of a bound.
func (n *Node) recordClosedClient(bound intake.Bound) {
	n.metrics.clientsClosed.WithLabelValues(string(bound)).Inc()
	event.Log(n.logger, event.ClientClosed{Bound: string(bound)})
}

// listen opens all addresses, or returns an error and leaves none open.
func listen(endpoints []endpoint, timeouts func() serverTimeouts) ([]*httpServer, error) {
	var servers []*httpServer
	for _, e := range endpoints {
		if !e.address.IsValid() {
			continue
		}
		listener, err := net.Listen("tcp", e.address.String())
		if err != nil {
			for _, opened := range servers {
				_ = opened.listener.Close() // it has served no connection
			}
			return nil, oops.In("frontend").With("step", "frontend.listen", "peer", e.address.String()).Wrap(err)
		}
		servers = append(servers, newHTTPServer(listener, e.handler, timeouts, e.guard))
	}
	return servers, nil
}

// shutdownUnused closes servers that have served no connection.
func shutdownUnused(servers []*httpServer) error {
	var errs []error
	for _, server := range servers {
		errs = append(errs, server.Shutdown(context.Background()))
	}
	return errors.Join(errs...)
}

// serverTimeouts returns the timeouts and the limit on heads of the configuration in force. Where the
// configuration sets none, it returns the default for headers and the value of the settings for idle connections.
func (n *Node) serverTimeouts() serverTimeouts {
	limits := n.Limits()
	return serverTimeouts{
		header: cmp.Or(limits.HeaderTimeout, defaultHeaderTimeout),
		idle:   cmp.Or(limits.IdleTimeout, n.settings.Forward.IdleTimeout.Duration()),
		// Package http counts its read buffer as well.
		headBytes: max(minHeadBytes, limits.HeaderBytes),
	}
}

func readyHandler(path string, ready func() bool) http.Handler {
	router := echo.New()
	router.GET(path, func(c echo.Context) error {
		if ready() {
			return c.String(http.StatusOK, "ready\n")
		}
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	})
	return router
}

func metricsHandler(metrics http.Handler) http.Handler {
	router := echo.New()
	router.GET("/metrics", echo.WrapHandler(metrics))
	return router
}
