package runner_test

import (
	"context"

	"crocuswing/internal/fleet/view"
	"crocuswing/internal/query/answer"
	"crocuswing/internal/query/gatherer"
	"crocuswing/internal/query/plan"
	"crocuswing/internal/query/runner"
	"crocuswing/internal/wire/part"
)

// policy is a way to execute queries.
type policy interface {
	Run(ctx context.Context, v view.View, q runner.Query) (answer.Answer, error)
}

// naivePolicy sends one attempt to the first replica of each shard and waits for all answers or the deadline.
type naivePolicy struct{ sender *sender }

func (n naivePolicy) Run(ctx context.Context, v view.View, q runner.Query) (answer.Answer, error) {
	p, err := plan.New(v.Config(), q.Service, q.Key)
	if err != nil {
		return answer.Answer{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, p.Preset.Deadline())
	defer cancel()
	type result struct {
		shard int
		q     part.Request
		r     part.Reply
		err   error
	}
	results := make(chan result, len(p.Shards))
	for i, s := range p.Shards {
		m := part.Request{RequestID: q.RequestID + s.Name, Service: q.Service, Shard: s.Name, Snapshot: p.Snapshot, Query: q.Query, Key: q.Key}
		go func() {
			r, err := n.sender.Part(ctx, s.Replicas[0], m)
			results <- result{shard: i, q: m, r: r, err: err}
		}()
	}
	g := gatherer.New(p.Snapshot, p.Shards)
wait:
	for range p.Shards {
		select {
		case res := <-results:
			if res.err == nil {
				g.Add(res.shard, res.q, res.r)
			}
		case <-ctx.Done():
			break wait
		}
	}
	return answer.Answer{RequestID: q.RequestID, Snapshot: p.Snapshot, Coverage: g.Coverage(), Rows: g.Rows()}, nil
}

func (h *harness) naivePolicies() []policy {
	all := make([]policy, len(h.senders))
	for i, s := range h.senders {
		all[i] = naivePolicy{sender: s}
	}
	return all
}
