package main

import (
	"encoding/json"
	"net"
	"net/http"
	"time"
)

const heartbeatInterval = 2 * time.Second // an empty line on a watch, as the protocol page states

// target is one entry of discovery's list.
type target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	PodGroup int     `json:"pod_group"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"`
	BootMS   int64   `json:"boot_ms"`
}

// targetList is one JSON object of discovery: the whole list or its changes.
type targetList struct {
	Rev     int      `json:"rev"`
	All     bool     `json:"all"`
	Targets []target `json:"targets"`
}

// discovery is a stand-in of the discovery service. A watch begins with the whole list and then holds heartbeats.
type discovery struct {
	log      *record
	listener net.Listener
	server   *http.Server
	list     targetList // it never changes
}

// startDiscovery serves the given targets on a free loopback port.
func startDiscovery(log *record, targets []target) (*discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{log: log, listener: listener, list: targetList{Rev: 1, All: true, Targets: targets}}
	d.server = &http.Server{Handler: d}
	go d.server.Serve(listener)
	return d, nil
}

func (d *discovery) addr() string { return d.listener.Addr().String() }

func (d *discovery) close() { d.server.Close() }

// ServeHTTP answers a call for the list with the whole list, and keeps a watch open.
func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.log.add("discovery", "call %s", r.URL)
	if r.URL.Path != "/api/targets" {
		http.NotFound(w, r)
		return
	}
	flusher := w.(http.Flusher)
	json.NewEncoder(w).Encode(d.list)
	flusher.Flush()
	if r.URL.Query().Get("follow") == "" {
		return
	}
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		select {
		case <-r.Context().Done():
			return
		case <-heartbeat.C:
			w.Write([]byte("\n"))
		}
		flusher.Flush()
	}
}
