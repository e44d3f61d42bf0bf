package node

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"reflect"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/samber/oops"

	"github.com/micaplank/micaplank/internal/edge/lease"
	"github.com/micaplank/micaplank/internal/edge/mirror"
	"github.com/micaplank/micaplank/internal/event"
	"github.com/micaplank/micaplank/internal/peer"
	"github.com/micaplank/micaplank/internal/settings"
)

const (
	// headerTimeout bounds the time that a caller may take for its headers if
	// the configuration in force does not say.
	headerTimeout = 10 * time.Second
	// shutdownTimeout bounds the end of what is in flight once the drain delay
	// is over.
	shutdownTimeout = 10 * time.Second
	// minBackoff and maxBackoff bound the pause between two calls to a store
	// that does not answer.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// leaseTTL is how long a node that is gone still counts, and leaseBackoff
	// bounds the pause between two tries to announce this one.
	leaseTTL     = 30 * time.Second
	leaseBackoff = 3 * time.Second
)

// Run serves until ctx ends, and then stops as planned: it is not ready at
// once, goes on to serve for the drain delay, and finishes what is in flight.
func (f *Node) Run(ctx context.Context) error {
	servers, err := f.listen()
	if err != nil {
		return err
	}
	peers, err := f.listenPeers()
	if err != nil {
		return errors.Join(err, f.closeAll(servers))
	}
	event.Log(f.logger, event.Started{HTTP: f.settings.Listen.HTTP.String(), Zone: f.settings.Zone, Cores: f.member.Cores, SeesSuspensions: f.clock.Failures() == 0})
	following, stop := context.WithCancel(context.Background())
	defer stop()
	var background sync.WaitGroup
	background.Go(func() { f.mirror().Run(following) })
	background.Go(func() { f.announce(following) })
	background.Go(func() { f.delegate.Run(following) })
	background.Go(func() { f.combine.Run(following) })
	background.Go(func() { f.rollouts.run(following) })
	background.Go(func() { f.gate.run(following) })
	background.Go(func() { f.clock.Watch(following, wakeInterval, f.woke) })
	failed := make(chan error, len(servers))
	for _, one := range servers {
		background.Go(func() { failed <- ignoreClosed(one.Serve()) })
	}
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	err = errors.Join(err, f.drain(servers, peers))
	stop()
	background.Wait()
	err = errors.Join(err, f.peers.Close())
	f.expiry.Stop()
	event.Log(f.logger, event.Stopped{})
	return err
}

// wakeInterval is how often a node looks whether it was suspended: its timers stand
// still with the machine, so until then what is due waits for the next event.
const wakeInterval = 100 * time.Millisecond

// woke follows a suspension: what has expired meanwhile ends now.
func (f *Node) woke(suspended time.Duration) {
	f.metrics.suspended.Add(suspended.Seconds())
	event.Log(f.logger, event.Woke{Suspended: suspended})
	f.conn.Wake()
	f.publish()
}

func (f *Node) mirror() *mirror.Mirror {
	f.shared.SetPlanner(f.ports.Decoder.NodePrefix(), f.planStart)
	return mirror.New(mirror.Config{
		Prefix:     f.ports.Decoder.Prefix(),
		MinBackoff: minBackoff, MaxBackoff: maxBackoff,
		Wait:   f.settings.Forward.WatchWait.Duration(),
		Gather: f.settings.Forward.WatchGather.Duration(),
	}, f.shared, storeSink{f})
}

// announce tells the other nodes that this one shares the extra load, until ctx
// ends. It begins once the store was read: an announcement of a former process on
// this machine is kept alive in place of a new one, which spares calls to the
// store and news to all nodes when many processes start again.
func (f *Node) announce(ctx context.Context) {
	select {
	case <-f.firstRead:
	case <-ctx.Done():
		return
	}
	key, value := f.announced()
	lease.NewHolder(lease.Config{
		Key: key, Value: value, Former: f.former,
		TTL: leaseTTL, MinBackoff: minBackoff, MaxBackoff: leaseBackoff,
	}, f.ports.Leases, f.logger).Run(ctx)
}

// listen opens all addresses, or none.
func (f *Node) listen() ([]*callerServer, error) {
	handlers := []struct {
		address netip.AddrPort
		handler http.Handler
	}{
		{f.settings.Listen.HTTP, f.ports.Handler(f)},
		{f.settings.Listen.Ready, f.readyHandler()},
		{f.settings.Listen.Metrics, f.metricsHandler()},
	}
	var servers []*callerServer
	for _, one := range handlers {
		if !one.address.IsValid() {
			continue
		}
		listener, err := net.Listen("tcp", one.address.String())
		if err != nil {
			for _, opened := range servers {
				_ = opened.listener.Close() // it has served nothing
			}
			return nil, oops.In("frontend").With("step", "frontend.listen", "peer", one.address.String()).Wrap(err)
		}
		servers = append(servers, newCallerServer(listener, one.handler, f.callerTimes))
	}
	return servers, nil
}

// callerTimes returns the times that the configuration in force allows to
// callers, or those of the settings where it names none.
func (f *Node) callerTimes() callerTimes {
	limits := f.Limits()
	return callerTimes{
		header: cmp.Or(limits.HeaderTimeout, headerTimeout),
		idle:   cmp.Or(limits.IdleTimeout, f.settings.Forward.IdleTimeout.Duration()),
	}
}

func (f *Node) readyHandler() http.Handler {
	router := echo.New()
	router.GET(f.ports.ReadyPath, func(c echo.Context) error {
		if f.ready() {
			return c.String(http.StatusOK, "ready\n")
		}
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	})
	return router
}

func (f *Node) metricsHandler() http.Handler {
	router := echo.New()
	router.GET("/metrics", echo.WrapHandler(f.registry.Handler()))
	return router
}

// closeAll ends what has served nothing.
func (f *Node) closeAll(servers []*callerServer) error {
	var errs []error
	for _, one := range servers {
		errs = append(errs, one.Shutdown(context.Background()))
	}
	return errors.Join(errs...)
}

// drain ends what callers use, then the question for readiness, and last what
// other nodes use.
func (f *Node) drain(servers []*callerServer, peers *peer.Server) error {
	f.draining.Store(true)
	event.Log(f.logger, event.Draining{InFlight: f.conn.InFlight()})
	time.Sleep(f.settings.Forward.DrainDelay.Duration())
	finishing, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	var errs []error
	for _, one := range servers {
		errs = append(errs, one.Shutdown(finishing))
	}
	if peers != nil {
		errs = append(errs, peers.Close(finishing))
	}
	return errors.Join(errs...)
}

// Reload is told of the settings as they are now. All of them take a restart
// to change; the log says whether one is due.
func (f *Node) Reload(current settings.Settings) {
	event.Log(f.logger, event.SettingsRead{Changed: !reflect.DeepEqual(current, f.settings)})
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
