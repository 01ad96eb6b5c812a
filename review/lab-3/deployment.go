package main

import (
	"fmt"
	"time"
)

// deployment is a small deployment: four machines in three zones, services of two servers each, and the store.
type deployment struct {
	services []string
	store    *store
	nodes    []*node
	servers  []*server
}

// routeTo is the configuration value of a route to one service.
func routeTo(name, host, prefix, service string) map[string]any {
	return map[string]any{
		"name": name, "host": host, "prefix": prefix, "type": "idempotent", "service": service, "priority": 1,
		"timeoutMs": 1500, "goalMs": 300, "maxAttempts": 2, "allowedRegions": []string{},
	}
}

// gatherRoute is the configuration value of a route that gathers the parts of all services.
func gatherRoute(name, host, prefix string, services []string) map[string]any {
	return map[string]any{
		"name": name, "host": host, "prefix": prefix, "type": "idempotent", "gather": services, "priority": 1,
		"timeoutMs": 600, "goalMs": 100, "maxAttempts": 2, "topK": 10, "minSuccessShare": 0.75, "allowedRegions": []string{},
	}
}

// configure writes a configuration with the given routes and returns when the store has acknowledged it.
func (d *deployment) configure(version int64, routes ...map[string]any) time.Time {
	services := []map[string]any{}
	for _, name := range d.services {
		services = append(services, map[string]any{
			"name": name, "healthPath": "/healthz", "maxConns": 26, "protocol": "h1", "tls": false, "coldStartS": 3.0, "coldPerS": 0.0,
		})
	}
	return d.store.put("op/config", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

// newDeployment starts the store, two servers of each service and the processes, and waits until these are ready.
func newDeployment(dir string, services []string, routes ...map[string]any) *deployment {
	d := &deployment{store: newStore(), services: services}
	d.configure(10, routes...)
	for _, service := range services {
		for i := range 2 {
			v := newServer(fmt.Sprintf("i-%s-%d", service, i+1), service, zones[i], 10*time.Millisecond, d.store)
			d.servers = append(d.servers, v)
			note("server %s of %s at %s in %s", v.id, v.service, v.address, v.zone)
		}
	}
	d.nodes = newNodes(4, dir)
	for _, n := range d.nodes {
		cleanup = append([]func(){n.kill}, cleanup...)
		n.writeSettings(d.store.address)
		n.start()
		note("%s started: %s platform, clients at %s", n.name, program, n.front)
	}
	for _, n := range d.nodes {
		n.awaitReady()
	}
	note("all machines are ready")
	return d
}
