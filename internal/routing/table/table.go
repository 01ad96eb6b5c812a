// Package table is the routing table of one revision of the configuration.
package table

import (
	"maps"
	"slices"
	"strings"

	"crocuswing/internal/routing/limits"
	"crocuswing/internal/routing/route"
	"crocuswing/internal/routing/service"
)

// Table finds the route of a request. It is immutable.
type Table struct {
	revision   int64
	limits     limits.Limits
	hosts      map[string][]*route.Route // longest prefix first
	services   map[string]service.Service
	repeatable []string
}

// New makes the table of a revision.
func New(revision int64, routes []route.Route, services []service.Service, l limits.Limits) *Table {
	t := &Table{
		revision: revision,
		limits:   l,
		hosts:    make(map[string][]*route.Route),
		services: make(map[string]service.Service, len(services)),
	}
	named := make(map[string]bool)
	for i := range routes {
		for _, s := range routes[i].Shards {
			named[s] = true
		}
		for _, d := range routes[i].Destinations {
			named[d.Service] = named[d.Service] || !routes[i].NonIdempotent
		}
		host := strings.ToLower(routes[i].Host)
		t.hosts[host] = append(t.hosts[host], &routes[i])
	}
	for _, of := range t.hosts {
		slices.SortStableFunc(of, func(a, b *route.Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for _, s := range services {
		t.services[s.Name] = s
	}
	maps.DeleteFunc(named, func(_ string, repeatable bool) bool { return !repeatable })
	t.repeatable = slices.Sorted(maps.Keys(named))
	return t
}

// Revision is the number of this state of the configuration.
func (t *Table) Revision() int64 { return t.revision }

// Limits bounds the requests of callers.
func (t *Table) Limits() limits.Limits { return t.limits }

// Service gives the service of that name.
func (t *Table) Service(name string) (service.Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// IdempotentServices gives the services that some route names whose requests may run more than once, sorted.
func (t *Table) IdempotentServices() []string { return t.repeatable }

// ServiceCount gives the number of services.
func (t *Table) ServiceCount() int { return len(t.services) }

// Lookup gives the route with the longest prefix of path among those of the host. A port in host is ignored.
func (t *Table) Lookup(host, path string) (*route.Route, bool) {
	if at := strings.LastIndexByte(host, ':'); at > strings.LastIndexByte(host, ']') {
		host = host[:at]
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}
