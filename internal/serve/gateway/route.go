package gateway

import (
	"encoding/json"
	"net/http"
	"strings"

	"crocuswing/internal/forward/request"
	"crocuswing/internal/operator/routereport"
)

// maxRouteParam is the longest host, path, method or workspace that is accepted, so that the report is bounded.
const maxRouteParam = 4096

// serveRoute reports where a request would go now and why. It reads no header of the request, so that no key of a caller is involved.
func (g *Gateway) serveRoute(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	for _, name := range []string{routereport.ParamHost, routereport.ParamPath, routereport.ParamMethod, routereport.ParamWorkspace} {
		if len(query.Get(name)) > maxRouteParam {
			http.Error(w, name+" is too long", http.StatusBadRequest)
			return
		}
	}
	req := request.Request{
		Method: query.Get(routereport.ParamMethod), Host: query.Get(routereport.ParamHost), Workspace: query.Get(routereport.ParamWorkspace),
	}
	req.Path, _, _ = strings.Cut(query.Get(routereport.ParamPath), "?")
	if req.Host == "" || !strings.HasPrefix(req.Path, "/") {
		http.Error(w, "want the parameters host, and path with a leading slash", http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(g.explainRoute(req)) // a client that has disconnected
}

// explainRoute returns the report on a request. Only one is made at a time, since each locks the clusters for a moment.
func (g *Gateway) explainRoute(req request.Request) routereport.Report {
	g.routeMu.Lock()
	defer g.routeMu.Unlock()
	rep := g.runner.Explain(req, g.catalog)
	rep.Instance, rep.FailureDomain, rep.Region = g.settings.Instance, g.settings.FailureDomain, g.settings.Region
	rep.Aggregators = g.gatherers()
	return rep
}
