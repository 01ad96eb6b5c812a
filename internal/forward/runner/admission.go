package runner

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"crocuswing/internal/forward/reply"
	"crocuswing/internal/published/state"
	"crocuswing/internal/workspace/credential"
	"crocuswing/internal/workspace/workspace"
)

// admission decides which requests of workspaces run.
type admission struct {
	// maxKeyAge is the age of the view above which its keys are not relied on; 0 if they always are.
	maxKeyAge atomic.Int64
	quotas    Quotas // nil if none are kept
}

// Quotas keeps the quotas of workspaces.
type Quotas interface {
	// Admit waits for permission to run a request, for some tens of milliseconds at most. It fails with *quota.ExceededError. If the
	// request does not begin to run, giveBack is called.
	Admit(ctx context.Context, w *workspace.Workspace) (giveBack func(), err error)
}

// WithQuotas returns an option that keeps the quotas of workspaces.
func WithQuotas(q Quotas) Option { return func(r *Runner) { r.quotas = q } }

// takeQuota takes the permission to run the request. It returns a reply if there is none.
func (h *handler) takeQuota(ctx context.Context) (giveBack func(), rep *reply.Reply) {
	if h.quotas == nil || !h.workspace.IsLimited() {
		return func() {}, nil
	}
	giveBack, err := h.quotas.Admit(ctx, h.workspace)
	if err == nil {
		return giveBack, nil
	}
	var after time.Duration
	if errors.As(err, &h.exceeded) {
		after = h.exceeded.RetryAfter
	}
	result := reply.Exceeded(err.Error(), after)
	return nil, &result
}

// label returns the name of the workspace for metrics: those of the largest quotas have their own, the others share one.
func (h *handler) label() string {
	if workspaces, ok := h.view.Table.Workspaces(); ok && workspaces.IsLarge(h.workspace.Name) {
		return strings.Map(func(r rune) rune {
			if r == '"' || r == '\\' {
				return '_' // ends or escapes the label
			}
			return r
		}, h.workspace.Name)
	}
	return "other"
}

// SetMaxKeyAge sets the age of the view above which requests with a key are refused, because the key may have been removed; 0 means that
// they never are.
func (a *admission) SetMaxKeyAge(d time.Duration) { a.maxKeyAge.Store(int64(d)) }

// identify finds the workspace of the caller, if the request needs one. It returns a reply if the request must not run.
func (h *handler) identify() *reply.Reply {
	workspaces, ok := h.view.Table.Workspaces()
	if !ok {
		return nil
	}
	if h.route.IsPublic {
		h.request = h.request.WithWorkspace("")
		return nil
	}
	w, ok := workspaces.Find(h.request.Credential)
	if !ok {
		return h.unidentified()
	}
	if maxAge := time.Duration(h.maxKeyAge.Load()); maxAge > 0 && h.viewAge > maxAge {
		rep := refused(reasonOldKey)
		return &rep
	}
	h.request = h.request.WithWorkspace(w.Name)
	h.workspace, h.route = w, w.Restrict(h.route)
	return nil
}

// unidentified returns the reply to a request whose key no known workspace holds. A key that an old view lacks may be a new one.
func (h *handler) unidentified() *reply.Reply {
	rep := reply.Failed(http.StatusUnauthorized, "key is "+h.request.Credential.String())
	if _, ok := h.request.Credential.Hash(); ok {
		rep.Reason = "key is unknown"
		if h.viewAge > staleViewAge {
			rep = refused("key is unknown in a view that may be old")
		}
	}
	return &rep
}

// reasonOldKey is the reason of the refusal of a request whose view is too old for its keys.
const reasonOldKey = "the key may have been removed since the view was read"

// permit lets a request begin as long as its key is known, from a view that is recent enough. Once it has begun to be sent, it goes on when the key is removed.
type permit struct {
	viewer     Viewer
	credential credential.Credential
	workspace  string
	maxAge     time.Duration              // of the view; 0 for no limit
	checked    atomic.Pointer[state.View] // the newest view that is known to have the key
	state      atomic.Int32
	cancel     context.CancelFunc
}

const (
	permitOpen int32 = iota
	permitBegun
	permitRevoked // the key was removed
	permitExpired // the view has become older than maxAge
)

// newPermit returns the permit of a request whose key the view has. It calls cancel if it refuses the sending.
func (h *handler) newPermit(cancel context.CancelFunc) *permit {
	p := &permit{
		viewer: h.viewer, credential: h.request.Credential, workspace: h.workspace.Name, maxAge: time.Duration(h.maxKeyAge.Load()), cancel: cancel,
	}
	p.checked.Store(h.view)
	return p
}

// allow reports whether the request may be sent. It is safe for concurrent use.
func (p *permit) allow() bool {
	if p.state.Load() == permitBegun {
		return true
	}
	found := p.verify()
	if found == permitOpen {
		p.state.CompareAndSwap(permitOpen, permitBegun)
	} else if p.state.CompareAndSwap(permitOpen, found) {
		p.cancel()
	}
	return p.state.Load() == permitBegun
}

// verify returns permitOpen if the request may begin, and otherwise the state that tells why not.
func (p *permit) verify() int32 {
	if !p.isKeyValid() {
		return permitRevoked
	}
	if age, _ := p.viewer.Age(); p.maxAge > 0 && age > p.maxAge {
		return permitExpired
	}
	return permitOpen
}

// isKeyValid reports whether the current view has the key, for the same workspace.
func (p *permit) isKeyValid() bool {
	view := p.viewer.View()
	if checked := p.checked.Load(); view == checked || view.Table == checked.Table {
		return true
	}
	workspaces, ok := view.Table.Workspaces()
	if !ok {
		return true // keys are no longer needed
	}
	w, ok := workspaces.Find(p.credential)
	if !ok || w.Name != p.workspace {
		return false
	}
	p.checked.Store(view)
	return true
}

// hasBegun reports whether something may have been sent.
func (p *permit) hasBegun() bool { return p.state.Load() == permitBegun }

// refusal returns the reply to a request that must not begin, and nil if it may or has begun.
func (p *permit) refusal() *reply.Reply {
	if found := p.verify(); found != permitOpen {
		p.state.CompareAndSwap(permitOpen, found)
	}
	var rep reply.Reply
	switch p.state.Load() {
	case permitRevoked:
		rep = reply.Failed(http.StatusUnauthorized, "the key was removed before the request was sent")
	case permitExpired:
		rep = refused(reasonOldKey)
	default:
		return nil
	}
	return &rep
}
