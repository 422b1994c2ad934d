package sidecar

import (
	"encoding/json"
	"fmt"
	"net"
	"slices"

	"forkline"
)

// This file has the lists of discovery.

// List is a message of discovery: a full list or changes to it.
type List struct {
	Rev     int64    `json:"rev"` // version of the list
	Full    bool     `json:"all"` // Targets holds all entries, not only changed ones
	Targets []Target `json:"targets"`
}

// Target is one entry of a list.
type Target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Kind     string  `json:"model"`
	Cell     uint16  `json:"pod_group"`
	State    string  `json:"state"` // a key of serverStates
	Weight   float64 `json:"capacity_hint"`
	BootMS   float64 `json:"boot_ms"` // Unix time of the last start, in ms
}

var serverStates = map[string]forkline.ServerState{
	"Ready": forkline.Ready, "Terminating": forkline.Draining, "Gone": forkline.Removed,
}

// ParseList decodes one list and validates each of its entries.
func ParseList(text []byte) (List, error) {
	var l List
	if err := json.Unmarshal(text, &l); err != nil {
		return l, err
	}
	for i, t := range l.Targets {
		if _, ok := serverStates[t.State]; !ok || t.UID == "" {
			return l, fmt.Errorf("targets[%d]: uid %q or state %q is unknown", i, t.UID, t.State)
		}
		if _, _, err := net.SplitHostPort(t.Endpoint); err != nil && serverStates[t.State] != forkline.Removed {
			return l, fmt.Errorf("targets[%d]: endpoint: %w", i, err)
		}
	}
	return l, nil
}

// merge returns the full list that results from applying the changes in delta to l.
func (l List) merge(delta List) List {
	merged := List{Rev: delta.Rev, Full: true}
	targets := slices.Concat(l.Targets, delta.Targets)
	last := make(map[string]int, len(targets))
	for i, t := range targets {
		last[t.UID] = i
	}
	for i, t := range targets {
		if last[t.UID] == i && t.State != "Gone" {
			merged.Targets = append(merged.Targets, t)
		}
	}
	return merged
}
