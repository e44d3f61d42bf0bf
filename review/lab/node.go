package lab

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/micaplank/micaplank/platform"
	"github.com/micaplank/micaplank/platform/platformtest"
)

// NodeConfig describes a node.
type NodeConfig struct {
	Name, Zone string
	// Store is the address of the platform's store.
	Store netip.AddrPort
	// Seeds are addresses for calls between nodes.
	Seeds []string
	// Directory receives the settings file and the log.
	Directory string
}

// Node is a process of the project's own program, as the deploy file starts it.
type Node struct {
	Front, Ready, Control string
	command               *exec.Cmd
	exited                chan struct{}
}

// program and template are the run command and the template of deploy/system.toml.
const (
	program  = "target/micaplank-edge"
	template = "deploy/micaplank.toml.tmpl"
)

// host is the loopback address of this process and of the nodes that it starts. Other processes have
// others, so that none takes a port between its choice and the start of the node.
var host = netip.AddrFrom4([4]byte{127, 192 | byte(os.Getpid()>>16)&0x3f, byte(os.Getpid() >> 8), byte(os.Getpid())})

// listen returns a listener on a free port.
func listen() (net.Listener, error) {
	return net.Listen("tcp", netip.AddrPortFrom(host, 0).String())
}

// chosen holds the addresses that freeAddresses has returned. The system may offer a port again before
// the node for which it was chosen listens there.
var chosen sync.Map

// freeAddresses returns as many addresses with free ports.
func freeAddresses(count int) ([]string, error) {
	var addresses []string
	for len(addresses) < count {
		listener, err := listen()
		if err != nil {
			return nil, err
		}
		address := listener.Addr().String()
		if err := listener.Close(); err != nil {
			return nil, err
		}
		if _, repeated := chosen.LoadOrStore(address, true); !repeated {
			addresses = append(addresses, address)
		}
	}
	return addresses, nil
}

// StartNode writes the settings of a node and starts it. It must be called at the root of the
// repository.
func StartNode(config NodeConfig) (*Node, error) {
	addresses, err := freeAddresses(4)
	if err != nil {
		return nil, err
	}
	n := &Node{Front: addresses[0], Ready: addresses[1], Control: addresses[2], exited: make(chan struct{})}
	settings, err := renderSettings(config, n, netip.MustParseAddrPort(addresses[3]).Port())
	if err != nil {
		return nil, err
	}
	path := filepath.Join(config.Directory, config.Name+".toml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(config.Directory, config.Name+".log"))
	if err != nil {
		return nil, err
	}
	n.command = exec.Command(program)
	n.command.Env = []string{"PATH=" + os.Getenv("PATH"), platform.SettingsVariable + "=" + path}
	n.command.Stdout, n.command.Stderr = log, log
	startedMutex.Lock()
	defer startedMutex.Unlock()
	if err := n.command.Start(); err != nil {
		return nil, fmt.Errorf("start node: %w", err)
	}
	started = append(started, n)
	go func() {
		_ = n.command.Wait() // a killed process reports an error here
		_ = log.Close()
		close(n.exited)
	}()
	return n, nil
}

// renderSettings fills the template as the platform does, with the bounds of the site harvest-search. Those
// of hft-quotes differ from them in retry_slack alone, which is 56 there.
func renderSettings(config NodeConfig, n *Node, metricsPort uint16) (string, error) {
	content, err := os.ReadFile(template)
	if err != nil {
		return "", err
	}
	return platformtest.Render(string(content), map[string]any{
		"node_name": config.Name, "zone": config.Zone, "region": "north", "ip": host.String(),
		"listen_addrs":   map[string]any{"front": n.Front, "ready": n.Ready, "control": n.Control},
		"seeds":          config.Seeds,
		"heartbeat_ms":   1200,
		"internal_ports": []any{0, metricsPort},
		"limits":         map[string]any{"memory_mb": 284, "cores": 1, "cpu_share": 0.4},
		"bounds": map[string]any{
			"retry_budget_ratio": 0.2, "retry_slack": 54, "budget_window_s": 10, "drain_ms": 3000, "grace_s": 6,
		},
		"platform": map[string]any{"address": config.Store.String()},
	})
}

// AwaitReady waits until the node says that it is ready.
func (n *Node) AwaitReady(timeout time.Duration) error {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		response, err := http.Get("http://" + n.Ready + platform.ReadyPath)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("node at %s is not ready after %v", n.Front, timeout)
}

// started holds the nodes that this process has started.
var (
	startedMutex sync.Mutex
	started      []*Node
)

// KillNodesOnSignal ends all nodes, and this process with the given exit code, when this process is
// asked to stop.
func KillNodesOnSignal(exitCode int) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		<-signals
		startedMutex.Lock() // stays locked, so that no further node starts
		for _, n := range started {
			n.Kill()
		}
		os.Exit(exitCode)
	}()
}

// Signal sends a signal to the process.
func (n *Node) Signal(signal syscall.Signal) error { return n.command.Process.Signal(signal) }

// Kill ends the process and waits for its end.
func (n *Node) Kill() {
	_ = n.command.Process.Kill() // it may have ended already
	<-n.exited
}
