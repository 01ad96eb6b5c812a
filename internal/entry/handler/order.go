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

// orderRefusal is the error of a refused order, with what is known about its ticket.
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

// placeOrder serves an order. It decodes the order before anything can be refused, since the refusal of an order with a ticket
// must not state that the order was not run: it may have run through another instance.
func (h *Handler) placeOrder(w http.ResponseWriter, r *http.Request) {
	var m call.Order
	err := readJSON(r, &m)
	state := outcome.NotRun
	if m.Ticket != "" {
		state = outcome.Unknown
	}
	h.serveWithOutcome(state, "order", func(req request) (any, error) {
		if err != nil {
			return nil, err
		}
		return h.place(req, m)
	})(w, r)
}

// serveTicket returns a handler for requests about a ticket. Its refusals do not state the outcome of the order.
func (h *Handler) serveTicket(kind string, answer func(request) (any, error)) http.HandlerFunc {
	return h.serveWithOutcome(outcome.Unknown, kind, answer)
}

func (h *Handler) mint(req request) (any, error) {
	var m call.TicketRequest
	if err := readJSON(req.Request, &m); err != nil {
		return nil, err
	}
	if err := checkOrderService(req, m.Service); err != nil {
		return nil, err
	}
	g, err := h.coordinator.Mint(req.Context(), coordinator.MintRequest{Caller: req.caller.Name, Service: m.Service})
	if err != nil {
		return nil, err
	}
	return call.Ticket{Ticket: g.Ticket, ExpiresMS: time.Now().Add(g.Lifetime).UnixMilli()}, nil
}

func (h *Handler) place(req request, m call.Order) (any, error) {
	ctx, cancel := orderContext(req)
	defer cancel()
	p := coordinator.Placement{Ticket: m.Ticket, Caller: req.caller.Name, Service: m.Service, Key: m.Key, Body: m.Body}
	grant, err := h.admit(req, 1, noRepeatKey)
	if err != nil && m.Ticket != "" {
		return h.reportOutcome(req, h.coordinator.Refuse(ctx, p, err.Error()), "")
	}
	if err != nil {
		return nil, err
	}
	defer grant.Release(true)
	if m.Ticket != "" {
		return h.reportOutcome(req, h.coordinator.Handle(ctx, p), "")
	}
	return h.placeWithoutTicket(ctx, req, p)
}

// placeWithoutTicket mints a ticket for an order without one, so that the order runs at most once for this request.
func (h *Handler) placeWithoutTicket(ctx context.Context, req request, p coordinator.Placement) (any, error) {
	if !req.view.Config().Preset().AllowOrdersWithoutTicket {
		return nil, &refusal{status: http.StatusForbidden, reason: "the preset in force forbids orders without a ticket"}
	}
	if err := checkOrderService(req, p.Service); err != nil {
		return nil, err
	}
	g, err := h.coordinator.MintLocal(coordinator.MintRequest{Caller: p.Caller, Service: p.Service})
	if err != nil {
		return nil, err
	}
	p.Ticket = g.Ticket
	return h.reportOutcome(req, h.coordinator.Handle(ctx, p), p.Ticket)
}

func (h *Handler) ask(req request) (any, error) { return h.ticketAction(req, coordinator.ActionGet) }

func (h *Handler) withdraw(req request) (any, error) {
	return h.ticketAction(req, coordinator.ActionWithdraw)
}

// ticketAction asks for the outcome of a ticket or withdraws it. A refusal due to overload leaves the ticket unchanged.
func (h *Handler) ticketAction(req request, action string) (any, error) {
	grant, err := h.admit(req, 1, noRepeatKey)
	if err != nil {
		return nil, err
	}
	defer grant.Release(true)
	ctx, cancel := orderContext(req)
	defer cancel()
	p := coordinator.Placement{Ticket: req.PathValue("ticket"), Caller: req.caller.Name, Action: action}
	return h.reportOutcome(req, h.coordinator.Handle(ctx, p), "")
}

// reportOutcome counts an outcome and returns the reply or the refusal for it. mintedTicket is the ticket minted for an order
// without one, otherwise empty.
func (h *Handler) reportOutcome(req request, o outcome.Outcome, mintedTicket string) (any, error) {
	h.metrics.Count(`crocuswing_order_outcomes_total{outcome="` + o.State + `",refusal="` + o.Refusal + `"}`)
	if o.Refusal != "" {
		return nil, &orderRefusal{Outcome: o}
	}
	return call.OrderResult{RequestID: req.id, Outcome: o, Ticket: mintedTicket}, nil
}

// orderContext returns a context that limits the caller's wait to the deadline of the preset. The order continues to run
// after it.
func orderContext(req request) (context.Context, context.CancelFunc) {
	return context.WithTimeout(req.Context(), req.view.Config().Preset().Deadline())
}

// checkOrderService fails unless the named service accepts orders.
func checkOrderService(req request, name string) error {
	if s, ok := req.view.Config().Service(name); !ok || s.Kind != service.KindOrder {
		return &refusal{status: http.StatusNotFound, reason: "there is no order service " + name}
	}
	return nil
}
