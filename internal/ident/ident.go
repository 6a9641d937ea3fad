// Package ident holds the identifier types of nodes, servers, zones, models and versions.
package ident

import "strings"

// Node identifies a process of the system.
type Node string

// Server identifies a model server.
type Server string

// Zone identifies a failure zone.
type Zone string

// Epoch is the version of the desired state; it only increases.
type Epoch uint64

// Term is the number of a leadership term; it only increases.
type Term uint64

// Incarnation is a number drawn at each start of a process and for each new disk.
type Incarnation uint64

// Digest is a digest of an entry's content; equal digests mean that the content is unchanged.
type Digest uint64

// Key identifies a unit of placement: a base model, or an adapter on its base model.
type Key string

// NewKey returns the key of a base model or, if adapter is not empty, of an adapter on it.
func NewKey(base, adapter string) Key {
	if adapter == "" {
		return Key(base)
	}
	return Key(base + "+" + adapter)
}

// Base returns the key of the base model.
func (k Key) Base() Key {
	base, _, _ := strings.Cut(string(k), "+")
	return Key(base)
}

// InService qualifies a model key with its service, so that two services may each have a model of the same name.
func (k Key) InService(service string) Key { return Key(service + "|" + string(k)) }

// Service returns the service that qualifies the key, or an empty string.
func (k Key) Service() string {
	service, _, ok := strings.Cut(string(k), "|")
	if !ok {
		return ""
	}
	return service
}

// Name returns the key without its service, as the service itself names the model.
func (k Key) Name() Key {
	if _, name, ok := strings.Cut(string(k), "|"); ok {
		return Key(name)
	}
	return k
}

// ServiceKey returns the key of a whole service: requests that name no model may go to any of its servers.
func ServiceKey(service string) Key { return Key("").InService(service) }

// IsWholeService reports whether the key stands for a whole service rather than for one of its models.
func (k Key) IsWholeService() bool { return strings.HasSuffix(string(k), "|") }

// IsAdapter reports whether the key identifies an adapter.
func (k Key) IsAdapter() bool { return strings.Contains(string(k), "+") }
