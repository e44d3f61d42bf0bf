// Package cluster runs a complete deployment as processes on the loopback interface: fakes of
// the platform, leaves and nodes. The demo and the tests of the deployment use it.
//
// It can kill, freeze and terminate processes to inject faults. It owns the processes and their
// files, and needs the built programs micaplank and micarehearse.
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

// listeningMessage is the message of the log line in which a process announces its addresses.
const listeningMessage = "listening"

// maximumLogBytes bounds the most recent log output that is kept of each process.
const maximumLogBytes = 64 << 10

// listeningLine holds the fields of the log line that announces the addresses.
type listeningLine struct {
	Message string         `json:"msg"`
	HTTP    netip.AddrPort `json:"http"`
	Peer    netip.AddrPort `json:"peer"`
}

// Process is a process of the deployment.
type Process struct {
	Name string
	// HTTP is the announced address of the HTTP interface.
	HTTP netip.AddrPort
	// Peer is the announced address for other nodes. Only a node announces one.
	Peer netip.AddrPort

	command      *exec.Cmd
	announcement chan listeningLine
	exited       chan struct{}
	exitErr      error

	mutex sync.Mutex
	log   []byte
}

// startProcess starts a program and blocks until it listens. It returns an error if the process
// exits first. If the process does not listen in time or ctx ends, startProcess kills it and
// returns an error.
func startProcess(ctx context.Context, name, binary string, arguments ...string) (*Process, error) {
	process := &Process{
		Name:         name,
		command:      exec.Command(binary, arguments...),
		announcement: make(chan listeningLine, 1),
		exited:       make(chan struct{}),
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

// awaitListening waits for the announced addresses and stores them.
func (p *Process) awaitListening(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	select {
	case line := <-p.announcement:
		p.HTTP = line.HTTP
		p.Peer = line.Peer
		return nil
	case <-p.exited:
		return oops.With("step", "await listening", "peer", p.Name).Errorf("%s exited at start: %v\n%s", p.Name, p.exitErr, p.Log())
	case <-ctx.Done():
		p.Kill()
		return oops.With("step", "await listening", "peer", p.Name).Errorf("%s does not listen: %w\n%s", p.Name, ctx.Err(), p.Log())
	}
}

// readLog keeps the most recent log lines and extracts the first announcement. At the end of the
// log, it collects the exit status.
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
			p.announcement <- parsed
		}
	}
	p.exitErr = p.command.Wait()
	close(p.exited)
}

// appendLog appends a line and discards the oldest output beyond maximumLogBytes.
func (p *Process) appendLog(line []byte) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.log = append(p.log, line...)
	p.log = append(p.log, '\n')
	if excess := len(p.log) - maximumLogBytes; excess > 0 {
		p.log = append([]byte(nil), p.log[excess:]...)
	}
}

// Log returns the most recent log output.
func (p *Process) Log() string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return string(p.log)
}

// Kill sends SIGKILL and blocks until the process has exited.
func (p *Process) Kill() {
	_ = p.command.Process.Kill() // it may have exited already
	<-p.exited
}

// Freeze suspends the process with SIGSTOP until Thaw.
func (p *Process) Freeze() error {
	return p.command.Process.Signal(syscall.SIGSTOP)
}

// Thaw resumes a frozen process with SIGCONT.
func (p *Process) Thaw() error {
	return p.command.Process.Signal(syscall.SIGCONT)
}

// Terminate requests a planned stop with SIGTERM and returns without waiting for it.
func (p *Process) Terminate() error {
	return p.command.Process.Signal(syscall.SIGTERM)
}

// Wait blocks until the process has exited and returns its exit code. It returns -1 if a signal
// ended the process or if ctx ends first.
func (p *Process) Wait(ctx context.Context) int {
	select {
	case <-p.exited:
		return p.command.ProcessState.ExitCode()
	case <-ctx.Done():
		return -1
	}
}

// ProcessID returns the process id in the operating system.
func (p *Process) ProcessID() int {
	return p.command.Process.Pid
}
