// Package rig2 runs the scripts of a review: it starts nodes of the built program as processes, in
// front of the project's stand-ins of the platform, records what was sent, answered and run, and ends
// every process that it started.
//
// A script exits with 1 if the rule was broken, with 0 if it held, and with 2 if it could not run.
package rig2

import (
	"bufio"
	"errors"
	"fmt"
	"net/http"
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

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

const (
	// binary and template are the program and the settings template that the deploy file names.
	binary   = "target/micaplank-edge"
	template = "deploy/micaplank.toml.tmpl"
	// readyTimeout bounds the wait for a node that starts.
	readyTimeout = 20 * time.Second
	// playTimeout bounds a whole script.
	playTimeout = 110 * time.Second
	pollPause   = 20 * time.Millisecond
)

// Case is a script that runs.
type Case struct {
	// Trouble is false if the script runs without its disruption.
	Trouble bool
	World   *platformtest.Deployment

	started   time.Time
	directory string
	file      *os.File

	mutex  sync.Mutex
	record *bufio.Writer
	nodes  []*Node
	broken bool
}

// Node is a process of the program under review.
type Node struct {
	Spec    platformtest.NodeSpec
	Command *exec.Cmd
	exited  chan struct{}
}

// Main runs a script whose record belongs into a folder, and exits.
func Main(folder string, world *platformtest.Deployment, play func(*Case) error) {
	os.Exit(run(folder, world, play))
}

func run(folder string, world *platformtest.Deployment, play func(*Case) error) int {
	defer world.Close()
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	directory, err := os.MkdirTemp("", "micaplank-review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer func() { _ = os.RemoveAll(directory) }() // it holds only settings and logs
	c := &Case{
		Trouble: os.Getenv("TROUBLE") != "0", World: world,
		started: time.Now(), directory: directory, file: file, record: bufio.NewWriter(file),
	}
	defer c.close()
	c.Note("trouble: %v", c.Trouble)
	done := make(chan error, 1)
	go func() { done <- play(c) }()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	select {
	case err = <-done:
	case <-interrupted:
		err = errors.New("interrupted")
	case <-time.After(playTimeout):
		err = errors.New("the script takes too long")
	}
	switch {
	case err != nil:
		c.Say("could not run: %v", err)
		return exitFailed
	case c.broken:
		c.Say("the rule was broken")
		return exitBroken
	}
	c.Say("the rule held")
	return exitHeld
}

// close ends the nodes and writes the rest of the record.
func (c *Case) close() {
	for _, node := range c.nodes {
		node.Kill()
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	_ = c.record.Flush()
	_ = c.file.Close()
}

// Note writes a line to the record.
func (c *Case) Note(format string, arguments ...any) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	_, _ = fmt.Fprintf(c.record, "%8.3f ", time.Since(c.started).Seconds())
	_, _ = fmt.Fprintf(c.record, format+"\n", arguments...)
}

// Say writes a line to the record and to the standard output.
func (c *Case) Say(format string, arguments ...any) {
	c.Note(format, arguments...)
	fmt.Printf(format+"\n", arguments...)
}

// Break records that the rule was broken.
func (c *Case) Break(format string, arguments ...any) {
	c.mutex.Lock()
	c.broken = true
	c.mutex.Unlock()
	c.Say("broken: "+format, arguments...)
}

// StartNode starts a node and waits until it is ready. The fields of the settings may be changed
// before.
func (c *Case) StartNode(spec platformtest.NodeSpec, change func(fields map[string]any)) (*Node, error) {
	text, err := os.ReadFile(template)
	if err != nil {
		return nil, err
	}
	fields := c.World.TemplateFields(spec)
	if change != nil {
		change(fields)
	}
	settings, err := platformtest.Render(string(text), fields)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(c.directory, fmt.Sprintf("%s-%d.toml", spec.Name, time.Now().UnixNano()))
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(path + ".log")
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	node := &Node{Spec: spec, Command: exec.Command(binary), exited: make(chan struct{})}
	node.Command.Env = append(os.Environ(), platform.SettingsVariable+"="+path)
	node.Command.Stdout, node.Command.Stderr = log, log
	if err := node.Command.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = node.Command.Wait()
		close(node.exited)
	}()
	c.nodes = append(c.nodes, node)
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(pollPause) {
		if node.Ready() {
			c.Note("node %s is ready, process %d", spec.Name, node.Command.Process.Pid)
			return node, nil
		}
	}
	return nil, fmt.Errorf("node %s is not ready after %v", spec.Name, readyTimeout)
}

// readyClient asks nodes whether they are ready.
var readyClient = &http.Client{Timeout: time.Second}

// Ready reports whether the node says that it is ready.
func (n *Node) Ready() bool {
	response, err := readyClient.Get("http://" + n.Spec.ReadyAddress() + platform.ReadyPath)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Alive reports whether the process runs.
func (n *Node) Alive() bool {
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

// Kill ends the process and waits for its end.
func (n *Node) Kill() {
	_ = n.Command.Process.Kill() // it may have ended
	<-n.exited
}
