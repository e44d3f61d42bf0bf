// Package hollow runs the control part of hundreds or thousands of nodes in one
// process and measures what it costs a node: membership and dissemination as a
// node runs them, with their real encoding, but without queries and leaves.
//
// Two kinds of fleet run the same scenarios. The socket fleet runs the services
// over UDP and TCP sockets on 127.0.0.1 in real time, so its processor time
// contains that of the drivers and of the system. The virtual fleet runs the
// cores in virtual time over a network with delays between zones and regions;
// it reaches larger sizes and repeats for a seed.
//
// The configuration store is an object in this process in both; calls to it
// are counted.
package hollow
