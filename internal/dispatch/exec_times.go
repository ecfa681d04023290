package dispatch

import (
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

const (
	// execTimeTTL is the age above which a reported execution time counts less:
	// its difference from the mean of all targets is multiplied by execTimeTTL and
	// divided by its age. A target that was slow once is so tried again.
	execTimeTTL = 5 * time.Second
	// slownessWeight is the weight of a new report in the slowness of a target.
	slownessWeight = 0.3
	// meanExecTimeWeight is the weight of a new report in the mean of all targets.
	meanExecTimeWeight = 0.05
	// maxExecTimeClasses is the maximum number of classes with a report for one
	// target. When it is reached, the next report resets the others.
	maxExecTimeClasses = 64
)

// execTimeReport is a gate's report of how long its target takes for requests
// of a class.
type execTimeReport struct {
	execTime   time.Duration
	receivedAt time.Time
}

// slowness is the ratio of a target's execution times to the means of all
// targets, over all classes.
type slowness struct {
	ratio      float64
	receivedAt time.Time
}

// reportExecTime records the execution time of a load report, if it has one. The
// caller holds the lock.
func (l *TargetLoads) reportExecTime(t *targetState, load vanillabarrow.Load, now time.Time) {
	if load.ExecTime <= 0 {
		return
	}
	mean, ok := l.meanExecTimes[load.Class]
	if !ok {
		mean = load.ExecTime
	}
	l.meanExecTimes[load.Class] = mean + time.Duration(meanExecTimeWeight*float64(load.ExecTime-mean))
	ratio := float64(load.ExecTime) / float64(max(1, l.meanExecTimes[load.Class]))
	if t.slowness.receivedAt.IsZero() {
		t.slowness.ratio = ratio
	}
	t.slowness.ratio += slownessWeight * (ratio - t.slowness.ratio)
	t.slowness.receivedAt = now
	if t.execTimes == nil || len(t.execTimes) >= maxExecTimeClasses {
		t.execTimes = map[string]execTimeReport{}
	}
	t.execTimes[load.Class] = execTimeReport{load.ExecTime, now}
}

// expectedExecTime returns the expected execution time of a class at a target,
// which is nil if nothing is known about it. It is 0 without any report for the
// class. As the report for the class ages, the reports for other classes count
// instead, and as these age, the mean of all targets. The caller holds the lock.
func (l *TargetLoads) expectedExecTime(t *targetState, class string, now time.Time) time.Duration {
	mean := float64(l.meanExecTimes[class])
	if t == nil || t.slowness.receivedAt.IsZero() {
		return time.Duration(mean)
	}
	expected := mean * (1 + ageWeight(t.slowness.receivedAt, now)*(t.slowness.ratio-1))
	if report, ok := t.execTimes[class]; ok {
		expected += ageWeight(report.receivedAt, now) * (float64(report.execTime) - expected)
	}
	return time.Duration(expected)
}

// ageWeight returns the weight of a report: 1 up to an age of execTimeTTL, and
// then execTimeTTL divided by its age.
func ageWeight(receivedAt, now time.Time) float64 {
	if age := now.Sub(receivedAt); age > execTimeTTL {
		return float64(execTimeTTL) / float64(age)
	}
	return 1
}
