package upstream

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"crocuswing/internal/upstream/contract"
	"crocuswing/internal/wire/header"
	"crocuswing/internal/wire/order"
	"crocuswing/internal/wire/part"

	"github.com/stretchr/testify/require"
)

var testContract = contract.Contract{Slots: 2, Connections: 4, ColdSlots: 1, WarmAfter: 2}

func post(t *testing.T, u *Upstream, path string, message any) *httptest.ResponseRecorder {
	t.Helper()
	text, err := json.Marshal(message)
	require.NoError(t, err)
	r := httptest.NewRequest(http.MethodPost, path, bytes.NewReader(text))
	r.Header.Set(header.RequestID, "r1")
	w := httptest.NewRecorder()
	u.ServeHTTP(w, r)
	require.Equal(t, "r1", w.Header().Get(header.RequestID))
	return w
}

func TestColdOverloadIsCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := New("u", testContract, time.Millisecond, 1)
		u.SetSnapshots("s1")
		send := func() { post(t, u, "/v1/part", part.Request{Snapshot: "s1"}) }
		send()
		require.Zero(t, u.Counts().ColdOverload)
		go send()
		go send()
		synctest.Wait()
		time.Sleep(time.Second)
		require.Equal(t, 1, u.Counts().ColdOverload)
		require.Equal(t, 3, u.Counts().Parts)
	})
}

func TestStatesAndCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := New("u", testContract, time.Millisecond, 1)
		u.SetSnapshots("s1")
		require.Equal(t, http.StatusGone, post(t, u, "/v1/part", part.Request{Snapshot: "s0"}).Code)
		require.Equal(t, "cold", post(t, u, "/v1/part", part.Request{Snapshot: "s1"}).Header().Get(header.State))
		post(t, u, "/v1/order", order.Request{Body: "b"})
		require.Equal(t, 1, u.OrderRuns("b"))
		require.Equal(t, "serving", post(t, u, "/v1/part", part.Request{Snapshot: "s1"}).Header().Get(header.State))
		before := post(t, u, "/v1/part", part.Request{Snapshot: "s1"}).Header().Get(header.Incarnation)
		u.Restart()
		require.NotEqual(t, before, post(t, u, "/v1/part", part.Request{Snapshot: "s1"}).Header().Get(header.Incarnation))
		u.SetDraining(true, time.Second)
		require.Equal(t, "leaving", post(t, u, "/v1/part", part.Request{Snapshot: "s1"}).Header().Get(header.State))
		require.Zero(t, u.Counts().WorkAfterLeave)
		time.Sleep(2 * time.Second)
		post(t, u, "/v1/part", part.Request{Snapshot: "s1"})
		require.Equal(t, 1, u.Counts().WorkAfterLeave)
	})
}
