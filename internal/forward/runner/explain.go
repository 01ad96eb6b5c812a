package runner

import (
	"net/http"
	"time"

	"crocuswing/internal/forward/reply"
	"crocuswing/internal/forward/request"
	"crocuswing/internal/operator/routereport"
	"crocuswing/internal/query/balancer"
	"crocuswing/internal/routing/route"
	"crocuswing/internal/upstream/cluster"
)

// ClusterFinder looks up the upstreams of a service without creating anything.
type ClusterFinder interface {
	// Find returns the cluster of a service, and false if no request has gone to it and no upstream of it is known.
	Find(service string) (*cluster.Cluster, bool)
}

// Explain returns what Run would decide now for a request, with the code of the same decisions. It sends nothing and changes nothing. The
// request has at least a host and a path.
func (r *Runner) Explain(req request.Request, find ClusterFinder) routereport.Report {
	req.Arrived = time.Now()
	h := handler{Runner: r, request: req, view: r.viewer.View()}
	h.viewAge, _ = r.viewer.Age()
	rep := routereport.Report{
		Method: req.Method, Host: req.Host, Path: req.Path, Workspace: req.Workspace, StoreRevision: h.view.Revision, ViewAgeMS: routereport.MS(h.viewAge),
	}
	if h.view.Table != nil {
		rep.Revision = h.view.Table.Revision()
	}
	refusal, ok := h.lookup()
	if !ok {
		rep.Refusal = reportRefusal(refusal)
		return rep
	}
	rt := h.route
	if _, hasWorkspaces := h.view.Table.Workspaces(); hasWorkspaces {
		if rt, ok = h.view.Table.Restrict(rt, req.Workspace); !ok {
			rep.Refusal = reportRefusal(reply.Failed(http.StatusUnauthorized, "the workspace is unknown"))
			return rep
		}
	}
	e, names := r.explainedExecution(req, rt, rep.Revision, find)
	rep.Route = reportRoute(rt, e)
	rep.ServiceCount, rep.Required = len(names), e.required
	rep.Available, _ = e.available(req.Arrived)
	e.explainRefusal(&rep)
	for i, name := range names[:min(len(names), routereport.MaxServices)] {
		s := routereport.Service{Name: name}
		if c, ok := find.Find(name); ok {
			s = c.Explain(rt, e.timing())
		}
		if !rt.IsGather() {
			s.Weight = rt.Destinations[i].Weight
		}
		rep.Services = append(rep.Services, s)
	}
	return rep
}

// explainedExecution returns the execution of the request, and the names of its services, also those without a cluster. A route without
// shards has one for each destination, of which a request uses one.
func (r *Runner) explainedExecution(req request.Request, rt *route.Route, revision int64, find ClusterFinder) (*execution, []string) {
	names := rt.Shards
	if !rt.IsGather() {
		names = nil
		for _, d := range rt.Destinations {
			names = append(names, d.Service)
		}
	}
	var clusters []*cluster.Cluster
	for _, name := range names {
		if c, ok := find.Find(name); ok {
			clusters = append(clusters, c)
		}
	}
	return newExecutionOn(r, req, rt, revision, r.planner.Peek(req, rt), clusters), names
}

// explainRefusal records why the request would be refused at its arrival.
func (e *execution) explainRefusal(rep *routereport.Report) {
	if refusal, isRefused := e.refuseLate(e.request.Arrived); isRefused {
		rep.Refusal = reportRefusal(refusal)
	} else if refusal, isRefused := e.refuseShort(e.request.Arrived); isRefused {
		rep.Refusal = reportRefusal(refusal)
	} else if !e.limiter.Fits(e.unitCount(), e.route.Rank) {
		rep.Refusal = reportRefusal(refused(reasonFull))
	}
}

// unitCount returns the number of subrequests of a request, which the limiter counts.
func (e *execution) unitCount() int {
	if e.route.IsGather() {
		return len(e.subrequests)
	}
	return 1
}

func reportRefusal(r reply.Reply) *routereport.Refusal {
	return &routereport.Refusal{Status: r.Status, Reason: r.Reason, RetryAfterMS: routereport.MS(r.RetryAfter)}
}

func reportRoute(rt *route.Route, e *execution) *routereport.Route {
	return &routereport.Route{
		Name: rt.Name, Prefix: rt.Prefix, Rank: rt.Rank, Gathers: rt.IsGather(), RunsOnce: rt.NonIdempotent, MaxAttempts: rt.MaxAttempts,
		TimeoutMS: routereport.MS(rt.Timeout), ObjectiveMS: routereport.MS(rt.Objective), HedgeMS: routereport.MS(e.plan.HedgeDelay(balancer.SameDomain)),
		Regions: rt.Regions,
	}
}
