// Package table holds the routing table of one configuration revision, in which the route of each request is looked up.
package table

import (
	"maps"
	"slices"
	"strings"

	"crocuswing/internal/routing/limits"
	"crocuswing/internal/routing/route"
	"crocuswing/internal/routing/service"
	"crocuswing/internal/workspace/directory"
)

// Table maps hosts and path prefixes to routes. It is immutable.
type Table struct {
	revision           int64
	limits             limits.Limits
	hosts              map[string][]*route.Route // longest prefix first
	services           map[string]service.Service
	idempotentServices []string
	workspaces         *directory.Directory // nil if the configuration has none
	gatheredServices   map[string]bool
}

// Option configures a Table.
type Option func(*Table)

// WithWorkspaces returns an option that makes requests need the key of one of the workspaces, unless their route is public.
func WithWorkspaces(d *directory.Directory) Option { return func(t *Table) { t.workspaces = d } }

// New returns the table of a configuration revision.
func New(revision int64, routes []route.Route, services []service.Service, l limits.Limits, options ...Option) *Table {
	t := &Table{
		revision: revision,
		limits:   l,
		hosts:    make(map[string][]*route.Route),
		services: make(map[string]service.Service, len(services)),
	}
	isIdempotent := make(map[string]bool)
	for i := range routes {
		for _, s := range routes[i].Shards {
			isIdempotent[s] = true
		}
		for _, d := range routes[i].Destinations {
			isIdempotent[d.Service] = isIdempotent[d.Service] || !routes[i].NonIdempotent
		}
		host := strings.ToLower(routes[i].Host)
		t.hosts[host] = append(t.hosts[host], &routes[i])
	}
	for _, hostRoutes := range t.hosts {
		slices.SortStableFunc(hostRoutes, func(a, b *route.Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for _, s := range services {
		t.services[s.Name] = s
	}
	t.gatheredServices = gatheredServices(routes)
	maps.DeleteFunc(isIdempotent, func(_ string, idempotent bool) bool { return !idempotent })
	t.idempotentServices = slices.Sorted(maps.Keys(isIdempotent))
	for _, o := range options {
		o(t)
	}
	return t
}

// Revision returns the configuration revision.
func (t *Table) Revision() int64 { return t.revision }

// Limits returns the limits of callers' requests.
func (t *Table) Limits() limits.Limits { return t.limits }

// Workspaces returns the workspaces, and false if the configuration has none.
func (t *Table) Workspaces() (*directory.Directory, bool) { return t.workspaces, t.workspaces != nil }

// Restrict returns the route as it applies to the requests of the named workspace, or unchanged if the name is empty. It returns false
// if there is no such workspace.
func (t *Table) Restrict(r *route.Route, workspace string) (*route.Route, bool) {
	if workspace == "" {
		return r, true
	}
	if t.workspaces == nil {
		return nil, false
	}
	w, ok := t.workspaces.Workspace(workspace)
	if !ok {
		return nil, false
	}
	return w.Restrict(r), true
}

// Service returns the service with the given name.
func (t *Table) Service(name string) (service.Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// IdempotentServices returns the names of the services that are shards of a route or a destination of an idempotent route, sorted.
func (t *Table) IdempotentServices() []string { return t.idempotentServices }

// ServiceCount returns the number of services.
func (t *Table) ServiceCount() int { return len(t.services) }

// Lookup returns the host's route with the longest prefix that path starts with. A port in host is ignored.
func (t *Table) Lookup(host, path string) (*route.Route, bool) {
	if colon := strings.LastIndexByte(host, ':'); colon > strings.LastIndexByte(host, ']') {
		host = host[:colon]
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}
