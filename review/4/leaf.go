package main

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/micaplank/micaplank/platform/platformtest"
	"github.com/micaplank/micaplank/review/rig2"
)

// leaf is a stand-in of a leaf that holds other records for each kind of query.
type leaf struct {
	c       *rig2.Case
	id      string
	shard   *shard
	server  *http.Server
	address string
	started time.Time
}

// shard is a service with two leaves in one zone.
type shard struct {
	name, zone string
	records    map[string][]byte // by path
	work       time.Duration     // on each request
}

func startLeaf(c *rig2.Case, of *shard, suffix string) (*leaf, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &leaf{c: c, id: of.name + "-" + suffix, shard: of, address: listener.Addr().String(), started: time.Now()}
	l.server = &http.Server{Handler: http.HandlerFunc(l.serve)}
	go func() { _ = l.server.Serve(listener) }() // ends with Close
	return l, nil
}

func (l *leaf) announce(store *platformtest.Store) {
	store.Put("servers/"+l.id, map[string]any{
		"service": l.shard.name, "address": l.address, "zone": l.shard.zone, "version": "v1", "slots": leafSlots,
		"state": "ready", "cold_left_ms": 0, "call_seq": 1, "born": l.started.UnixMilli(),
	})
}

func (l *leaf) serve(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Attempt-Id")
	header := writer.Header()
	header.Set("X-Attempt-Id", id)
	if target := request.Header.Get("X-Target-Instance"); target != "" && target != l.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	time.Sleep(l.shard.work)
	header.Set("X-Server-Stamp", signature(l.id, id))
	header.Set("X-Server-Load", fmt.Sprintf("1,0,%d", leafSlots))
	_, _ = writer.Write(l.shard.records[request.URL.Path]) // fails if the caller has left
	l.c.Note("ran %s at %s", id, l.id)
}

func signature(leafID, requestID string) string { return leafID + "." + requestID }
