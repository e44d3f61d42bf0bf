// Package cluster runs a whole deployment as real processes on loopback: the
// stand-ins of the platform, the leaves and the nodes. The demo and the tests
// use it. It injects faults: kill, freeze and planned stop. It owns the processes
// and their files, and relies on the built programs micaplank and micarehearse.
package cluster

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/netip"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/samber/oops"
)

// startTimeout bounds the time from the start of a process until it listens.
const startTimeout = 20 * time.Second

// listeningMessage is the log line in which a process reports its addresses.
const listeningMessage = "listening"

// logBytes is how much of a process's newest log is kept.
const maximumLogBytes = 64 << 10

// announcement is the part of a log line that holds addresses.
type listeningLine struct {
	Message string         `json:"msg"`
	HTTP    netip.AddrPort `json:"http"`
	Peer    netip.AddrPort `json:"peer"`
}

// Process is one running program of the deployment.
type Process struct {
	Name string
	// HTTP and Peer are the addresses that the process announced.
	HTTP netip.AddrPort
	Peer netip.AddrPort

	command   *exec.Cmd
	addresses chan listeningLine
	exited    chan struct{}
	exitErr   error

	mutex sync.Mutex
	log   []byte
}

// startProcess starts a program and blocks until it listens, exits or the time
// to start is over. The process is killed if it does not listen in time.
func startProcess(ctx context.Context, name, binary string, arguments ...string) (*Process, error) {
	process := &Process{
		Name:      name,
		command:   exec.Command(binary, arguments...),
		addresses: make(chan listeningLine, 1),
		exited:    make(chan struct{}),
	}
	output, err := process.command.StderrPipe()
	if err != nil {
		return nil, oops.With("step", "start process", "peer", name).Wrap(err)
	}
	if err := process.command.Start(); err != nil {
		return nil, oops.With("step", "start process", "peer", name).Wrap(err)
	}
	go process.readLog(output)
	return process, process.awaitListening(ctx)
}

func (p *Process) awaitListening(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	select {
	case addresses := <-p.addresses:
		p.HTTP = addresses.HTTP
		p.Peer = addresses.Peer
		return nil
	case <-p.exited:
		return oops.With("step", "await listening", "peer", p.Name).Errorf("%s exited at start: %v\n%s", p.Name, p.exitErr, p.Log())
	case <-ctx.Done():
		p.Kill()
		return oops.With("step", "await listening", "peer", p.Name).Errorf("%s does not listen: %w\n%s", p.Name, ctx.Err(), p.Log())
	}
}

// follow keeps the newest log lines and picks out the announcement.
func (p *Process) readLog(output io.Reader) {
	scanner := bufio.NewScanner(output)
	scanner.Buffer(nil, maximumLogBytes)
	reported := false
	for scanner.Scan() {
		line := scanner.Bytes()
		p.appendLog(line)
		var parsed listeningLine
		if !reported && json.Unmarshal(line, &parsed) == nil && parsed.Message == listeningMessage {
			reported = true
			p.addresses <- parsed
		}
	}
	p.exitErr = p.command.Wait()
	close(p.exited)
}

func (p *Process) appendLog(line []byte) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.log = append(p.log, line...)
	p.log = append(p.log, '\n')
	if excess := len(p.log) - maximumLogBytes; excess > 0 {
		p.log = append([]byte(nil), p.log[excess:]...)
	}
}

// Log returns the newest log lines.
func (p *Process) Log() string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return string(p.log)
}

// Kill ends the process without warning and blocks until it is gone.
func (p *Process) Kill() {
	_ = p.command.Process.Kill() // it may have exited already
	<-p.exited
}

// Freeze stops the process from running until Thaw.
func (p *Process) Freeze() error {
	return p.command.Process.Signal(syscall.SIGSTOP)
}

// Thaw lets a frozen process run again.
func (p *Process) Thaw() error {
	return p.command.Process.Signal(syscall.SIGCONT)
}

// Terminate asks for a planned stop and returns at once.
func (p *Process) Terminate() error {
	return p.command.Process.Signal(syscall.SIGTERM)
}

// Wait blocks until the process has exited and returns its exit code; it is -1
// if a signal ended the process or ctx ended first.
func (p *Process) Wait(ctx context.Context) int {
	select {
	case <-p.exited:
		return p.command.ProcessState.ExitCode()
	case <-ctx.Done():
		return -1
	}
}

// ProcessID returns the id of the process.
func (p *Process) ProcessID() int {
	return p.command.Process.Pid
}
