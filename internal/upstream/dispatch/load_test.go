package dispatch_test

import (
	"testing"
	"time"

	"crocuswing/internal/fleet/member"

	"github.com/stretchr/testify/require"
)

const (
	retryAfter = 200 * time.Millisecond
	// capacity is the number of requests that a warm server completes in a second.
	capacity = float64(time.Second/serviceTime) * 2
)

// doubleLoad is a load of twice the capacity of one server.
var doubleLoad = load{interval: serviceTime / 4, duration: 4 * time.Second, timeout: 240 * time.Millisecond}

// longTimeoutLoad is the steady load with a timeout longer than the maximum wait in a queue.
var longTimeoutLoad = load{interval: steadyLoad.interval, duration: steadyLoad.duration, timeout: time.Second}

func loadCases() []faultCase {
	one := []string{"a"}
	storm := doubleLoad
	storm.retries = 10
	return []faultCase{
		{name: "draining, from responses", servers: one, isWarm: true, load: steadyLoad, fault: startDraining(nil), check: drainsInTime, naive: receivesLateWork},
		{name: "draining, from the list", servers: one, isWarm: true, load: steadyLoad, fault: startDraining(listDraining), check: drainsInTime, naive: receivesLateWork},
		{name: "domain out, known to the homes only", instances: 6, servers: one, isWarm: true, load: steadyLoad, fault: excludeDomain, check: drainsInTime, naive: receivesLateWork},
		{name: "twice the capacity", servers: one, isWarm: true, load: doubleLoad, fault: ignoreCancellation, check: keepsGoodput, naive: losesGoodput},
		{name: "retry storm at twice the capacity", servers: one, isWarm: true, load: storm, fault: ignoreCancellation, check: boundsAttempts},
		{name: "sheds with Retry-After", servers: one, isWarm: true, load: steadyLoad, fault: shedAfter(time.Second), check: backsOffWarm, naive: ignoresShedding},
		{name: "sheds while cold", servers: one, load: steadyLoad, fault: shedAfter(4 * coldFactor * serviceTime), check: backsOff, naive: ignoresShedding},
		{name: "a stalled connection at each home", servers: one, isWarm: true, load: longTimeoutLoad, fault: stallRequests, check: failsOnlyStalled},
		{name: "home lost, others relay", instances: 6, servers: one, isWarm: true, load: steadyLoad, fault: loseLastHome, check: reroutes},
	}
}

func startDraining(list func(*fleet)) func(*fleet) {
	return func(f *fleet) {
		time.Sleep(time.Second)
		f.servers["a"].startDraining()
		if list != nil {
			f.servers["a"].withLock(func() { f.servers["a"].hidesDraining = true })
			time.Sleep(drainGrace / 2) // delay of the list
			list(f)
		}
	}
}

func listDraining(f *fleet) { f.publish(f.instances(), map[string]string{"a": member.StateLeaving}) }

// excludeDomain excludes the server's failure domain in the view of its homes only.
func excludeDomain(f *fleet) {
	time.Sleep(time.Second)
	f.servers["a"].startDraining()
	f.servers["a"].withLock(func() { f.servers["a"].hidesDraining = true })
	time.Sleep(drainGrace / 2)
	f.isDomainExcluded = true
	f.publishTo(f.homes("a"), f.instances(), nil)
}

func drainsInTime(t *testing.T, f *fleet, o outcome) {
	c := f.servers["a"].counts()
	require.Zero(t, c.lateArrivals, "arrivals after the grace period")
	require.Zero(t, o.failed, "requests in flight must finish")
	require.Greater(t, o.done, 0)
	require.Greater(t, o.refused, 0)
}

func receivesLateWork(t *testing.T, f *fleet, _ outcome) {
	require.Greater(t, f.servers["a"].counts().lateArrivals, 0)
}

func ignoreCancellation(f *fleet) {
	f.servers["a"].withLock(func() { f.servers["a"].ignoresCancel = true })
}

func keepsGoodput(t *testing.T, _ *fleet, o outcome) {
	require.GreaterOrEqual(t, float64(o.done), 0.9*capacity*doubleLoad.duration.Seconds())
	require.Zero(t, o.failed, "requests must be refused before they are sent")
}

func losesGoodput(t *testing.T, _ *fleet, o outcome) {
	require.Less(t, float64(o.done), 0.5*capacity*doubleLoad.duration.Seconds())
}

// boundsAttempts checks that retries cause no more attempts than the capacity of the server.
func boundsAttempts(t *testing.T, f *fleet, o outcome) {
	require.Greater(t, o.refused, 0)
	require.LessOrEqual(t, float64(f.servers["a"].counts().arrivals), 1.1*capacity*doubleLoad.duration.Seconds())
	keepsGoodput(t, f, o)
}

// shedAfter makes the server shed requests for a second.
func shedAfter(wait time.Duration) func(*fleet) {
	return func(f *fleet) {
		time.Sleep(wait)
		f.servers["a"].withLock(func() { f.servers["a"].shedRetryAfter = retryAfter })
		time.Sleep(time.Second)
		f.servers["a"].withLock(func() { f.servers["a"].shedRetryAfter = 0 })
	}
}

func backsOff(t *testing.T, f *fleet, o outcome) {
	s := f.servers["a"]
	perHome := int(time.Second/retryAfter) + 1
	require.Greater(t, s.counts().shed, 0)
	require.LessOrEqual(t, s.counts().shed, testContract.HomeCount(4)*perHome, "each home must wait before it sends again")
	require.Zero(t, s.counts().overload)
	require.GreaterOrEqual(t, float64(o.done), 0.5*float64(o.sent), "the server must get work again")
}

// backsOffWarm checks in addition that every request succeeds or is refused.
func backsOffWarm(t *testing.T, f *fleet, o outcome) {
	backsOff(t, f, o)
	require.Zero(t, o.failed)
}

func ignoresShedding(t *testing.T, f *fleet, _ outcome) {
	require.Greater(t, f.servers["a"].counts().shed, testContract.HomeCount(4)*int(time.Second/retryAfter+1))
}

// stallRequests leaves as many requests without a response as there are homes, each of which has one slot.
func stallRequests(f *fleet) {
	time.Sleep(time.Second)
	f.servers["a"].withLock(func() { f.servers["a"].stalls = testContract.HomeCount(4) })
}

func failsOnlyStalled(t *testing.T, _ *fleet, o outcome) {
	require.Equal(t, testContract.HomeCount(4), o.failed, "only the stalled requests may fail")
	require.Zero(t, o.refused, "no slot may stay occupied until the deadline")
}

// loseLastHome stops the last home. The list does not show it.
func loseLastHome(f *fleet) {
	time.Sleep(time.Second)
	homes := f.homes("a")
	f.nodes[homes[len(homes)-1]].stopped.Store(true)
}

func reroutes(t *testing.T, f *fleet, o outcome) {
	require.Zero(t, o.failed)
	require.Zero(t, o.refused, "an attempt that did not reach a home must go to the next one")
	require.Equal(t, o.done, f.servers["a"].counts().arrivals, "no attempt may run twice")
}
