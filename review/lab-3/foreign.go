package main

import (
	"fmt"
	"time"
)

func init() { cases["foreign-entry"] = foreignEntry }

// foreignEntry lets another writer store one entry under the id of a server. The entry lacks the field version and names another service.
// The rule MIXED is broken if a gathered answer has the parts of two servers of one service, or of a service that its parts lack.
func foreignEntry(dir string) {
	shards := []string{"shard-1", "shard-2", "shard-3", "shard-4"}
	d := newDeployment(dir, shards, gatherRoute("lookup", "portal.example", "/lookup/", shards))
	lookup := newTraffic("portal.example", "/lookup/1/", 600*time.Millisecond)
	stop := lookup.start(d.nodes, 20*time.Millisecond)
	time.Sleep(6 * time.Second)
	if isTrouble {
		victim := d.servers[0]
		at := d.store.put("servers/"+victim.id, map[string]any{
			"service": "shard-2", "address": victim.address, "zone": victim.zone, "slots": 3, "state": "ready",
			"coldLeftMs": 0, "seq": 1, "born": time.Now().UnixMilli(),
		})
		noteAt(at, "another writer has stored an entry of %s, which is a server of %s: service shard-2, no field version", victim.id, victim.service)
	}
	time.Sleep(14 * time.Second)
	stop()
	note("%s", lookup.summary())
	for _, r := range allRuns(d.servers) {
		noteAt(r.at, "server %s of %s runs request %s", r.server, r.svc, r.id)
	}
	wrong, last := 0, time.Time{}
	for _, a := range lookup.answers {
		if a.status != 200 {
			continue
		}
		reason := wrongParts(d.servers, a, len(shards))
		noteAt(a.done, "%s answers %s: parts %v, %d missing%s", a.node, a.id, a.stamps, a.missing, reason)
		if reason != "" {
			wrong++
			last = a.done
		}
	}
	if wrong > 0 {
		note("the last wrong answer came at %.3f s", last.Sub(beganAt).Seconds())
		verdict(wrong, fmt.Sprintf("MIXED broken: %d of %d gathered answers are wrong", wrong, len(lookup.answers)))
	}
	verdict(0, "MIXED held")
}

// wrongParts returns why the parts of a success break the rule, or "" if they keep it.
func wrongParts(servers []*server, a answer, services int) string {
	seen := map[string]bool{}
	for _, stamp := range a.stamps {
		service := serviceOf(servers, a.id, stamp)
		switch {
		case service == "":
			return ", WRONG: " + stamp + " is no answer to this request"
		case seen[service]:
			return ", WRONG: two parts of " + service
		}
		seen[service] = true
	}
	if len(seen) == 0 || len(seen)+a.missing != services {
		return fmt.Sprintf(", WRONG: %d parts and %d missing of %d services", len(seen), a.missing, services)
	}
	return ""
}
