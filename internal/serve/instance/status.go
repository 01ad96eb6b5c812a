package instance

import (
	"fmt"
	"time"

	"crocuswing/internal/fleet/freshness"
	"crocuswing/internal/operator/status"
	"crocuswing/internal/upstream/warmup"
)

// Status returns the status of the instance for operators.
func (i *Instance) Status() status.Status {
	v := i.follower.Current()
	now := time.Now()
	first, extra := i.runner.Attempts()
	hedges, retries := i.runner.Tokens()
	s := status.Status{
		Instance:         i.settings.Instance,
		Incarnation:      fmt.Sprintf("%x", i.incarnation),
		FailureDomain:    i.settings.FailureDomain,
		Revision:         v.Config().Revision(),
		Digest:           v.Config().Digest(),
		Preset:           v.Config().Preset().Name,
		ExcludedDomains:  v.Config().ExcludedDomains(),
		ViewAgeMS:        status.AgeMS(v.Age(now)),
		OutageAgeMS:      status.AgeMS(freshness.Since(now, v.Freshness().Outage())),
		Watcher:          i.follower.IsWatcher(),
		PlatformFailing:  i.follower.PlatformFailing(),
		ListVersion:      v.Roster().Version(),
		Peers:            i.peerStatus(now),
		Tickets:          i.coordinator.Stats().Tickets,
		FirstAttempts:    first,
		ExtraAttempts:    extra,
		HedgeTokens:      hedges,
		RetryTokens:      retries,
		RequestsInFlight: i.inFlight.Requests(),
		OrdersInFlight:   i.coordinator.Stats().Running,
		ColdUpstreams:    make([]string, 0),
	}
	for _, t := range i.directory.Targets() {
		s.Upstreams++
		if t.Phase(now) == warmup.Cold {
			s.ColdUpstreams = append(s.ColdUpstreams, t.Name())
		}
	}
	s.NotReadyReason = i.notReadyReason()
	s.Ready = s.NotReadyReason == ""
	return s
}

func (i *Instance) notReadyReason() string {
	if i.stopping.Load() {
		return "the instance stops"
	}
	return i.follower.NotReadyReason()
}

// peerStatus returns the status of the peers that were called.
func (i *Instance) peerStatus(now time.Time) []status.Peer {
	known := i.detector.Peers()
	all := make([]status.Peer, 0, len(known))
	for _, p := range known {
		all = append(all, status.Peer{
			Instance:     p.Name,
			Revision:     p.Revision,
			ContactAgeMS: status.AgeMS(freshness.Since(now, p.LastSuccess)),
			Suspected:    p.Suspected,
			Leaving:      p.Leaving,
		})
	}
	return all
}

// registerGauges registers the gauges of the view and the readiness.
func (i *Instance) registerGauges() {
	i.metrics.Gauge("crocuswing_config_revision", func() float64 { return float64(i.revision()) })
	i.metrics.Gauge("crocuswing_list_version", func() float64 { return float64(i.follower.Current().Roster().Version()) })
	i.metrics.Gauge("crocuswing_view_age_seconds", func() float64 { return i.follower.Current().Age(time.Now()).Seconds() })
	i.metrics.Gauge("crocuswing_ready", func() float64 { return boolToFloat(i.notReadyReason() == "") })
	i.metrics.Gauge("crocuswing_watcher", func() float64 { return boolToFloat(i.follower.IsWatcher()) })
	i.metrics.Gauge("crocuswing_domains_out", func() float64 { return float64(len(i.follower.Current().Config().ExcludedDomains())) })
	i.metrics.Gauge("crocuswing_peers_avoided", func() float64 { return float64(len(i.follower.Current().Avoided())) })
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
