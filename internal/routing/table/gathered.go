package table

import (
	"maps"
	"slices"

	"crocuswing/internal/routing/route"
)

// gatheredServices returns the services that are shards of a route and the destination of none.
func gatheredServices(routes []route.Route) map[string]bool {
	gathered := make(map[string]bool)
	for i := range routes {
		for _, s := range routes[i].Shards {
			gathered[s] = true
		}
	}
	for i := range routes {
		for _, d := range routes[i].Destinations {
			delete(gathered, d.Service)
		}
	}
	return gathered
}

// IsGathered reports whether the service only receives parts of gathered requests.
func (t *Table) IsGathered(service string) bool { return t.gatheredServices[service] }

// GatheredServices returns the names of the services that only receive parts of gathered requests, sorted.
func (t *Table) GatheredServices() []string { return slices.Sorted(maps.Keys(t.gatheredServices)) }
