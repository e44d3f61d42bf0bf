// Package lab has what the review's cases share: real nodes as processes of their own, a leaf that
// speaks plain HTTP/1.1 on its socket, and a record of what was sent, answered and run.
//
// Everything listens on free ports of a loopback address of the process. A case ends all processes that it has started.
package lab
