package gateway

import "crocuswing/internal/settings/deployment"

// applyWorkspaceBounds sets the bounds on the requests of workspaces.
func (g *Gateway) applyWorkspaceBounds(b deployment.Bounds) { g.runner.SetMaxKeyAge(b.MaxKeyAge) }
