package follower

import (
	"context"
	"slices"
	"sync"
	"time"

	"crocuswing/internal/fleet/view"
)

// NotFreshError refuses new work because the view is missing or was not confirmed lately.
type NotFreshError struct{ Reason string }

// Error gives the reason.
func (e *NotFreshError) Error() string { return "instance is not ready: " + e.Reason }

// Reasons why an instance may not begin new work.
const (
	ReasonStarting    = "platform and peers were not asked yet"
	ReasonIncomplete  = "no configuration or list was read yet"
	ReasonUnconfirmed = "neither the platform nor a peer could confirm the view"
)

// Fresh gives a view that was confirmed lately enough for new work. It costs little while the view
// is fresh; else it asks platform and peers. It fails with *NotFreshError; nothing was run then.
func (f *Follower) Fresh(ctx context.Context) (view.View, error) {
	if v := f.Current(); f.Started() && v.IsFresh(time.Now()) {
		return v, nil
	}
	done := f.refresh.DoChan("", func() (any, error) {
		asking, cancel := context.WithTimeout(context.Background(), readTimeout)
		defer cancel()
		f.count("crocuswing_view_refreshes_total")
		f.ask(asking, func() bool { return f.Current().IsFresh(time.Now()) })
		return nil, nil
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
	v := f.Current()
	if reason := f.reason(v, time.Now()); reason != "" {
		return view.View{}, &NotFreshError{Reason: reason}
	}
	return v, nil
}

// NotReadyReason tells why the instance may not begin new work; it is empty if it may.
func (f *Follower) NotReadyReason() string { return f.reason(f.Current(), time.Now()) }

func (f *Follower) reason(v view.View, now time.Time) string {
	switch {
	case !v.IsComplete():
		return ReasonIncomplete
	case !f.Started():
		return ReasonStarting
	case !v.IsFresh(now):
		return ReasonUnconfirmed
	}
	return ""
}

// ask reads the platform and a few peers at once. It returns when all have ended, or a grace time
// after enough reports true, so that a slow answer that has more is not missed for a quick one that has less.
func (f *Follower) ask(ctx context.Context, enough func() bool) {
	ctx, cancel := context.WithCancel(ctx)
	var reads sync.WaitGroup
	ended := make(chan struct{}, 2+refreshPeers+len(f.seeds))
	read := func(do func()) {
		reads.Go(func() {
			do()
			ended <- struct{}{}
		})
	}
	read(func() { _, _ = f.followConfig(ctx, 0) })
	read(func() { _, _ = f.followList(ctx, 0) })
	for _, peer := range f.refreshTargets() {
		read(func() { _ = f.sync(ctx, peer) })
	}
	all := make(chan struct{})
	go func() {
		defer cancel()
		reads.Wait()
		close(all)
	}()
	var grace <-chan time.Time
	for {
		select {
		case <-all:
			return
		case <-ctx.Done():
			return
		case <-grace:
			return
		case <-ended:
			if grace == nil && enough() {
				grace = time.After(refreshGrace)
			}
		}
	}
}

// refreshTargets picks a few peers: watchers near and far, and the seeds while the list names nobody.
func (f *Follower) refreshTargets() []string {
	p := f.plan()
	suspected := f.contacts.Suspected()
	all := without(slices.Concat(p.SameDomain(), p.OtherDomains()), suspected)
	if len(all) == 0 {
		all = append(slices.Concat(p.SameDomain(), p.OtherDomains()), f.seeds...)
		return all[:min(len(all), max(refreshPeers, len(f.seeds)))]
	}
	for i := range all {
		j := i + f.pick(len(all)-i)
		all[i], all[j] = all[j], all[i]
	}
	return all[:min(len(all), refreshPeers)]
}
