package machines_test

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/goleak"

	fakemachines "github.com/micaplank/micaplank/internal/rehearsal/machines"
	"github.com/micaplank/micaplank/internal/selfhosted/machines"
	"github.com/micaplank/micaplank/internal/settings"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var leafAddress = netip.MustParseAddrPort("127.0.0.1:7101")

func startListAndPoller(t *testing.T, lag time.Duration) (*fakemachines.Server, *machines.Poller) {
	t.Helper()
	server, err := fakemachines.Start(fakemachines.Config{
		Address: "127.0.0.1:0", Lag: settings.Duration(lag),
		Machines: []machines.Machine{{Address: leafAddress, Kind: machines.KindLeaf, State: machines.StateLive, BootID: "b1"}},
	}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	config := machines.Config{Address: netip.MustParseAddrPort(server.Address()), Interval: time.Millisecond, Jitter: 0.5}
	return server, machines.NewPoller(config, rand.New(rand.NewPCG(1, 2)), nil)
}

func TestPollerReceivesChanges(t *testing.T) {
	server, poller := startListAndPoller(t, 0)
	ctx, cancel := context.WithCancel(context.Background())
	readings := make(chan machines.List)
	done := make(chan struct{})
	go func() {
		defer close(done)
		poller.Run(ctx, func(list machines.List) {
			select {
			case readings <- list:
			case <-ctx.Done():
			}
		})
	}()
	<-readings
	server.Control(fakemachines.ControlRequest{Leave: []netip.AddrPort{leafAddress}})
	for list := range readings {
		if machine, _ := list.Find(leafAddress); machine.State == machines.StateLeaving {
			break
		}
	}
	cancel()
	<-done
}

func TestLagDelaysChanges(t *testing.T) {
	server, poller := startListAndPoller(t, time.Hour)
	server.Control(fakemachines.ControlRequest{Remove: []netip.AddrPort{leafAddress}})
	list, err := poller.Poll(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if machine, found := list.Find(leafAddress); !found || machine.State != machines.StateLive {
		t.Fatalf("poll before the lag has passed: got list %+v, want the machine in state live", list)
	}
}

func TestFailedPollKeepsLastList(t *testing.T) {
	server, poller := startListAndPoller(t, 0)
	if reading := poller.Last(); reading.HasList {
		t.Fatalf("before the first poll: got reading %+v, want none", reading)
	}
	if _, err := poller.Poll(context.Background()); err != nil {
		t.Fatal(err)
	}
	down := true
	server.Control(fakemachines.ControlRequest{Down: &down})
	if _, err := poller.Poll(context.Background()); err == nil {
		t.Fatal("poll while the list is down: got no error, want one")
	}
	reading := poller.Last()
	if !reading.HasList || reading.Err == nil || len(reading.List.Machines) != 1 || reading.Age <= 0 {
		t.Fatalf("after a failed poll: got reading %+v, want the last list with its age and the error", reading)
	}
}
