// Package ident holds the identifier types of nodes, servers, zones, models and versions.
package ident

import "strings"

// Node names one process of the system.
type Node string

// Server names one model server.
type Server string

// Zone names a failure zone.
type Zone string

// Epoch numbers the desired states; it only rises.
type Epoch uint64

// Duty numbers the reigns of duty owners; it only rises.
type Duty uint64

// Inc is an incarnation: a number drawn anew by each life of a process or disk.
type Inc uint64

// Mark is a digest of an entry's content; equal marks mean that nothing changed.
type Mark uint64

// Key names what a placement places: a base model, or an adapter on its base.
type Key string

// KeyOf joins a base model and an optional adapter.
func KeyOf(base, adapter string) Key {
	if adapter == "" {
		return Key(base)
	}
	return Key(base + "+" + adapter)
}

// Base gives the key of the base model.
func (k Key) Base() Key {
	b, _, _ := strings.Cut(string(k), "+")
	return Key(b)
}

// In puts a key of a service's own models under the service, so that two services may each have a
// model of that name.
func (k Key) In(service string) Key { return Key(service + "|" + string(k)) }

// Service gives the service that a key is under, if it is under one.
func (k Key) Service() string {
	s, _, ok := strings.Cut(string(k), "|")
	if !ok {
		return ""
	}
	return s
}

// Name gives the key as its service calls it.
func (k Key) Name() Key {
	if _, n, ok := strings.Cut(string(k), "|"); ok {
		return Key(n)
	}
	return k
}

// ServiceKey is the key of a service as a whole: what names no model goes to any of its servers.
func ServiceKey(service string) Key { return Key("").In(service) }

// Plain tells whether the key stands for a whole service, and not for one of its models.
func (k Key) Plain() bool { return strings.HasSuffix(string(k), "|") }

// IsAdapter tells whether the key names an adapter.
func (k Key) IsAdapter() bool { return strings.Contains(string(k), "+") }
