package cluster

import "time"

// factorWeight is the weight of the newest report in the mean work factor. It equals that of the newest sample in the mean latency of
// package history, so that both means cover the same attempts.
const factorWeight = 0.2

// reportedLoad is what an upstream last reported of itself.
type reportedLoad struct {
	load       float64 // negative if unknown
	loadAt     time.Time
	slots      float64
	workFactor float64 // 0 if the last report had none
	meanFactor float64 // of the work during the recent attempts; 0 if unknown
}

// recordLoad keeps the report. A report without a work factor discards the former one.
func (l *reportedLoad) recordLoad(s Signals, now time.Time) {
	if !(s.Load >= 0) { // true for NaN too
		return
	}
	l.load, l.loadAt, l.slots, l.workFactor = s.Load, now, s.Slots, s.WorkFactor
	switch {
	case s.WorkFactor <= 0:
		l.meanFactor = 0
	case l.meanFactor == 0:
		l.meanFactor = s.WorkFactor
	default:
		l.meanFactor += factorWeight * (s.WorkFactor - l.meanFactor)
	}
}

// relativeFactor returns the reported work factor relative to its mean during the attempts from which the mean latency was computed,
// or 0 if none is reported.
func (l *reportedLoad) relativeFactor() float64 {
	if l.workFactor <= 0 || l.meanFactor <= 0 {
		return 0
	}
	return l.workFactor / l.meanFactor
}
