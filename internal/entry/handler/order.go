package handler

import (
	"context"
	"net/http"
	"time"

	"crocuswing/internal/config/service"
	"crocuswing/internal/order/coordinator"
	"crocuswing/internal/order/outcome"
	"crocuswing/internal/wire/call"
)

// orderRefusal refuses an order and tells what is known of its ticket.
type orderRefusal struct{ outcome.Outcome }

func (e *orderRefusal) Error() string { return e.Reason }

func (e *orderRefusal) status() int {
	switch e.Refusal {
	case outcome.RefusedTicket:
		return http.StatusForbidden
	case outcome.RefusedExpired:
		return http.StatusGone
	case outcome.RefusedConflict, outcome.RefusedService:
		return http.StatusConflict
	case outcome.RefusedBusy:
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

// placeOrder reads the order before anything else, since a refusal of an order under a ticket may not
// state that the order was not run: it may have been, through another instance.
func (h *Handler) placeOrder(w http.ResponseWriter, r *http.Request) {
	var m call.Order
	err := readJSON(r, &m)
	state := outcome.NotRun
	if m.Ticket != "" {
		state = outcome.Unknown
	}
	h.serveRefusing(state, "order", func(q request) (any, error) {
		if err != nil {
			return nil, err
		}
		return h.place(q, m)
	})(w, r)
}

// serveTicket serves a request about a ticket. Its refusals do not tell what became of the order.
func (h *Handler) serveTicket(kind string, answer func(request) (any, error)) http.HandlerFunc {
	return h.serveRefusing(outcome.Unknown, kind, answer)
}

func (h *Handler) mint(q request) (any, error) {
	var m call.TicketRequest
	if err := readJSON(q.Request, &m); err != nil {
		return nil, err
	}
	if err := checkOrderService(q, m.Service); err != nil {
		return nil, err
	}
	g, err := h.coordinator.Mint(q.Context(), coordinator.MintRequest{Caller: q.caller.Name, Service: m.Service})
	if err != nil {
		return nil, err
	}
	return call.Ticket{Ticket: g.Ticket, ExpiresMS: time.Now().Add(g.Lifetime).UnixMilli()}, nil
}

func (h *Handler) place(q request, m call.Order) (any, error) {
	ctx, cancel := orderContext(q)
	defer cancel()
	p := coordinator.Placement{Ticket: m.Ticket, Caller: q.caller.Name, Service: m.Service, Key: m.Key, Body: m.Body}
	grant, err := h.admit(q, 1, bareKey)
	if err != nil && m.Ticket != "" {
		return h.settle(q, h.coordinator.Refuse(ctx, p, err.Error()), "")
	}
	if err != nil {
		return nil, err
	}
	defer grant.Release(true)
	if m.Ticket != "" {
		return h.settle(q, h.coordinator.Handle(ctx, p), "")
	}
	return h.placeBare(ctx, q, p)
}

// placeBare runs an order without a ticket once for this request: it mints the ticket itself.
func (h *Handler) placeBare(ctx context.Context, q request, p coordinator.Placement) (any, error) {
	if !q.view.Config().Preset().BareOrders {
		return nil, &refusal{status: http.StatusForbidden, reason: "the preset in force forbids orders without a ticket"}
	}
	if err := checkOrderService(q, p.Service); err != nil {
		return nil, err
	}
	g, err := h.coordinator.MintLocal(coordinator.MintRequest{Caller: p.Caller, Service: p.Service})
	if err != nil {
		return nil, err
	}
	p.Ticket = g.Ticket
	return h.settle(q, h.coordinator.Handle(ctx, p), p.Ticket)
}

func (h *Handler) ask(q request) (any, error) { return h.about(q, coordinator.ActionGet) }

func (h *Handler) withdraw(q request) (any, error) { return h.about(q, coordinator.ActionWithdraw) }

// about asks or withdraws. A refusal for load leaves the ticket as it is.
func (h *Handler) about(q request, action string) (any, error) {
	grant, err := h.admit(q, 1, bareKey)
	if err != nil {
		return nil, err
	}
	defer grant.Release(true)
	ctx, cancel := orderContext(q)
	defer cancel()
	p := coordinator.Placement{Ticket: q.PathValue("ticket"), Caller: q.caller.Name, Action: action}
	return h.settle(q, h.coordinator.Handle(ctx, p), "")
}

// settle counts an outcome and answers with it; bare is the ticket of an order that came without one.
func (h *Handler) settle(q request, o outcome.Outcome, bare string) (any, error) {
	h.metrics.Count(`crocuswing_order_outcomes_total{outcome="` + o.State + `",refusal="` + o.Refusal + `"}`)
	if o.Refusal != "" {
		return nil, &orderRefusal{Outcome: o}
	}
	return call.Placed{RequestID: q.id, Outcome: o, Ticket: bare}, nil
}

// orderContext bounds the caller's wait by the preset's deadline. The order runs on after it.
func orderContext(q request) (context.Context, context.CancelFunc) {
	return context.WithTimeout(q.Context(), q.view.Config().Preset().Deadline())
}

func checkOrderService(q request, name string) error {
	if s, ok := q.view.Config().Service(name); !ok || s.Kind != service.KindOrder {
		return &refusal{status: http.StatusNotFound, reason: "there is no order service " + name}
	}
	return nil
}
