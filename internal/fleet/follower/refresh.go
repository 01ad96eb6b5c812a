package follower

import (
	"context"
	"slices"
	"sync"
	"time"

	"crocuswing/internal/fleet/view"
)

// NotFreshError reports that new work is refused because there is no view or it was not confirmed recently.
type NotFreshError struct{ Reason string }

// Error returns the reason.
func (e *NotFreshError) Error() string { return "instance is not ready: " + e.Reason }

// Reasons why an instance does not accept new work.
const (
	ReasonStarting    = "platform and peers were not asked yet"
	ReasonIncomplete  = "no configuration or list was read yet"
	ReasonUnconfirmed = "neither the platform nor a peer could confirm the view"
)

// Fresh returns a view that was confirmed recently enough for new work. If the current view is not fresh, it reads the platform
// and peers, and waits for this read until ctx ends; concurrent calls share the read. It fails with *NotFreshError.
func (f *Follower) Fresh(ctx context.Context) (view.View, error) {
	if v := f.Current(); f.Started() && v.IsFresh(time.Now()) {
		return v, nil
	}
	done := f.refresh.DoChan("", func() (any, error) {
		readCtx, cancel := context.WithTimeout(context.Background(), readTimeout)
		defer cancel()
		f.incMetric("crocuswing_view_refreshes_total")
		f.readNewest(readCtx, func() bool { return f.Current().IsFresh(time.Now()) })
		return nil, nil
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
	v := f.Current()
	if reason := f.notReadyReason(v, time.Now()); reason != "" {
		return view.View{}, &NotFreshError{Reason: reason}
	}
	return v, nil
}

// NotReadyReason returns the reason why the instance does not accept new work, or an empty string if it does.
func (f *Follower) NotReadyReason() string { return f.notReadyReason(f.Current(), time.Now()) }

func (f *Follower) notReadyReason(v view.View, now time.Time) string {
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

// readNewest reads the platform and a few peers concurrently. It returns when all reads have ended, or refreshGrace after enough
// first returned true, so that a fast reply does not hide a slower one with a newer view.
func (f *Follower) readNewest(ctx context.Context, enough func() bool) {
	ctx, cancel := context.WithCancel(ctx)
	var reads sync.WaitGroup
	completed := make(chan struct{}, 2+refreshPeers+len(f.seeds))
	read := func(do func()) {
		reads.Go(func() {
			do()
			completed <- struct{}{}
		})
	}
	read(func() { _, _ = f.followConfig(ctx, 0) })
	read(func() { _, _ = f.followList(ctx, 0) })
	for _, peer := range f.refreshTargets() {
		read(func() { _ = f.syncWith(ctx, peer) })
	}
	done := make(chan struct{})
	go func() {
		defer cancel()
		reads.Wait()
		close(done)
	}()
	var grace <-chan time.Time
	for {
		select {
		case <-done:
			return
		case <-ctx.Done():
			return
		case <-grace:
			return
		case <-completed:
			if grace == nil && enough() {
				grace = time.After(refreshGrace)
			}
		}
	}
}

// refreshTargets returns a few random watchers of all failure domains that are not suspected. If there are none, it returns
// suspected watchers and the seeds.
func (f *Follower) refreshTargets() []string {
	p := f.plan()
	suspected := f.detector.Suspected()
	targets := exclude(slices.Concat(p.SameDomain(), p.OtherDomains()), suspected)
	if len(targets) == 0 {
		targets = append(slices.Concat(p.SameDomain(), p.OtherDomains()), f.seeds...)
		return targets[:min(len(targets), max(refreshPeers, len(f.seeds)))]
	}
	for i := range targets {
		j := i + f.randN(len(targets)-i)
		targets[i], targets[j] = targets[j], targets[i]
	}
	return targets[:min(len(targets), refreshPeers)]
}
