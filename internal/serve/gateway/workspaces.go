package gateway

import (
	"slices"

	"crocuswing/internal/settings/deployment"
	"crocuswing/internal/workspace/directory"
	"crocuswing/internal/workspace/enforcer"
	"crocuswing/internal/workspace/quota"
	"crocuswing/internal/workspace/workspace"
)

// newQuotas returns the keeper of the quotas of workspaces, which is the same for all instances.
func (g *Gateway) newQuotas(s deployment.Settings) *enforcer.Enforcer {
	options := []enforcer.Option{enforcer.WithCounter(g.metrics.Count)}
	if slices.ContainsFunc(s.Seeds, func(seed string) bool { return seed != s.PeerAddress }) {
		options = append(options, enforcer.WithExpectedOthers())
	}
	return enforcer.New(g.membership, quotaRule(s.Bounds), currentWorkspaces{g}, g.log, options...)
}

// applyWorkspaceBounds sets the bounds on the requests of workspaces.
func (g *Gateway) applyWorkspaceBounds(b deployment.Bounds) {
	g.runner.SetMaxKeyAge(b.MaxKeyAge)
	g.quotas.SetRule(quotaRule(b))
}

func quotaRule(b deployment.Bounds) quota.Rule {
	return quota.Rule{Window: b.QuotaWindow, Overage: b.QuotaOverage, Slack: b.QuotaSlack}
}

// currentWorkspaces are those of the configuration in force.
type currentWorkspaces struct{ *Gateway }

func (c currentWorkspaces) directory() (*directory.Directory, bool) {
	if table := c.follower.View().Table; table != nil {
		return table.Workspaces()
	}
	return nil, false
}

// Workspace returns the workspace with the given name.
func (c currentWorkspaces) Workspace(name string) (*workspace.Workspace, bool) {
	d, ok := c.directory()
	if !ok {
		return nil, false
	}
	return d.Workspace(name)
}

// HasLimits reports whether any workspace has a limit.
func (c currentWorkspaces) HasLimits() bool {
	d, ok := c.directory()
	return ok && d.HasLimits()
}
