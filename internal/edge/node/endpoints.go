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
)

// defaultHeaderTimeout bounds the time that a client may take to send its headers if the
// configuration in force sets no limit. It only bounds how long a silent client occupies a
// connection.
const defaultHeaderTimeout = 10 * time.Second

// endpoint is an address and the handler that serves it.
type endpoint struct {
	address netip.AddrPort
	handler http.Handler
}

// endpoints returns the addresses that clients and the platform use. An endpoint without a valid
// address is not served.
func (n *Node) endpoints() []endpoint {
	return []endpoint{
		{n.settings.Listen.HTTP, n.ports.Handler(n)},
		{n.settings.Listen.Ready, readyHandler(n.ports.ReadyPath, n.isReady)},
		{n.settings.Listen.Metrics, metricsHandler(n.metricsRegistry.Handler())},
	}
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
		servers = append(servers, newHTTPServer(listener, e.handler, timeouts))
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

// serverTimeouts returns the timeouts of the configuration in force. Where the configuration sets
// none, it returns the default for headers and the value of the settings for idle connections.
func (n *Node) serverTimeouts() serverTimeouts {
	limits := n.Limits()
	return serverTimeouts{
		header: cmp.Or(limits.HeaderTimeout, defaultHeaderTimeout),
		idle:   cmp.Or(limits.IdleTimeout, n.settings.Forward.IdleTimeout.Duration()),
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
