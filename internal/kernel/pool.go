package kernel

import (
	"context"
	"errors"
	"log/slog"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vanillabarrow/vanillabarrow/internal/logging"
)

// Errors of the pool.
var (
	ErrPoolFull   = eris.New("worker pool queue is full")
	ErrPoolClosed = eris.New("worker pool is closed")
)

// fullQueueRetryDelay is the delay after which a one-time job is submitted again
// if the queue is full.
const fullQueueRetryDelay = 10 * time.Millisecond

// PoolConfig holds the sizes of a pool.
type PoolConfig struct {
	// Workers is the number of workers for short jobs, which do no I/O.
	Workers int
	// IOWorkers is the number of workers for jobs that block on I/O or run until
	// the pool closes. Each of the latter occupies a worker.
	IOWorkers int
	// Queue is the maximum number of queued jobs of each kind.
	Queue int
}

// DefaultPoolConfig returns the sizes for a node.
func DefaultPoolConfig() PoolConfig {
	return PoolConfig{Workers: 2, IOWorkers: 12, Queue: 256}
}

// Job is a named unit of work. Its context is canceled when the pool closes.
type Job struct {
	Name string
	Run  func(ctx context.Context)
}

// PoolStats holds the counters of a pool.
type PoolStats struct {
	Started uint64 `json:"started"`
	Panics  uint64 `json:"panics"`
	Refused uint64 `json:"refused"`
	Timers  int    `json:"timers"`
}

// Pool runs jobs on a fixed number of workers.
type Pool struct {
	cfg       PoolConfig
	logger    *slog.Logger
	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup
	shortJobs chan Job
	ioJobs    chan Job

	started atomic.Uint64
	panics  atomic.Uint64
	refused atomic.Uint64

	mu     *Mutex
	timers map[*Timer]struct{}
	closed bool
}

// NewPool starts a pool. Its workers run until Close.
func NewPool(cfg PoolConfig, logger *slog.Logger) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Pool{
		cfg:       cfg,
		logger:    logger,
		ctx:       ctx,
		cancel:    cancel,
		shortJobs: make(chan Job, cfg.Queue),
		ioJobs:    make(chan Job, cfg.Queue),
		mu:        NewMutex(RankWorkerPool),
		timers:    map[*Timer]struct{}{},
	}
	for range cfg.Workers {
		p.wg.Add(1)
		go p.run(p.shortJobs)
	}
	for range cfg.IOWorkers {
		p.wg.Add(1)
		go p.run(p.ioJobs)
	}
	return p
}

func (p *Pool) run(jobs <-chan Job) {
	defer p.wg.Done()
	for {
		select {
		case <-p.ctx.Done():
			return
		case job := <-jobs:
			p.execute(job)
		}
	}
}

func (p *Pool) execute(job Job) {
	defer func() {
		if r := recover(); r != nil {
			p.panics.Add(1)
			p.logger.Error(logging.EventJobPanicked, "job", job.Name, "panic", r, "stack", string(debug.Stack()))
		}
	}()
	p.started.Add(1)
	job.Run(p.ctx)
}

// Submit queues a short job, which must not block on I/O. It returns
// ErrPoolFull if the queue is full and ErrPoolClosed after Close.
func (p *Pool) Submit(name string, run func(ctx context.Context)) error {
	return p.enqueue(p.shortJobs, Job{Name: name, Run: run})
}

// SubmitIO queues a job that may block on I/O or run until the pool closes. It
// returns the same errors as Submit.
func (p *Pool) SubmitIO(name string, run func(ctx context.Context)) error {
	return p.enqueue(p.ioJobs, Job{Name: name, Run: run})
}

func (p *Pool) enqueue(jobs chan<- Job, job Job) error {
	if p.ctx.Err() != nil {
		return ErrPoolClosed
	}
	select {
	case jobs <- job:
		return nil
	default:
		p.refused.Add(1)
		return eris.Wrapf(ErrPoolFull, "job %s", job.Name)
	}
}

// Timer runs a job after a delay, once or periodically.
type Timer struct {
	pool  *Pool
	timer *time.Timer
}

// Stop stops the timer. A job that has already started is not interrupted.
func (t *Timer) Stop() {
	t.timer.Stop()
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	delete(t.pool.timers, t)
}

// reset restarts the timer unless it was stopped.
func (t *Timer) reset(delay func() time.Duration) {
	d := delay()
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	if _, ok := t.pool.timers[t]; ok {
		t.timer.Reset(d)
	}
}

// After runs a short job once after the delay. While the queue is full, the job
// is submitted again after fullQueueRetryDelay.
func (p *Pool) After(delay time.Duration, name string, run func(ctx context.Context)) *Timer {
	t := &Timer{pool: p}
	p.arm(t, delay, func() {
		if err := p.Submit(name, run); errors.Is(err, ErrPoolFull) {
			t.reset(func() time.Duration { return fullQueueRetryDelay })
			return
		}
		t.Stop()
	})
	return t
}

// Every runs a job periodically until the pool closes, with the given delay
// between the end of a run and the next start. The delay function is called
// before each wait, so that it can add jitter. With blocking set, the job may
// block on I/O. A run for which the queue is full is skipped.
func (p *Pool) Every(delay func() time.Duration, blocking bool, name string, run func(ctx context.Context)) *Timer {
	t := &Timer{pool: p}
	jobs := p.shortJobs
	if blocking {
		jobs = p.ioJobs
	}
	again := func(ctx context.Context) {
		defer t.reset(delay)
		run(ctx)
	}
	p.arm(t, delay(), func() {
		if err := p.enqueue(jobs, Job{Name: name, Run: again}); err != nil {
			t.reset(delay)
		}
	})
	return t
}

// arm starts the timer, unless the pool is closed.
func (p *Pool) arm(t *Timer, delay time.Duration, fire func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// The timer starts with a long delay, because fire must not run before t.timer
	// and p.timers are set.
	t.timer = time.AfterFunc(time.Hour, fire)
	if p.closed {
		t.timer.Stop()
		return
	}
	t.timer.Reset(delay)
	p.timers[t] = struct{}{}
}

// Close stops all timers, cancels the context of running jobs and waits for the
// workers to exit.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	for t := range p.timers {
		t.timer.Stop()
	}
	clear(p.timers)
	p.mu.Unlock()
	p.cancel()
	p.wg.Wait()
}

// Stats returns the current counters.
func (p *Pool) Stats() PoolStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return PoolStats{
		Started: p.started.Load(),
		Panics:  p.panics.Load(),
		Refused: p.refused.Load(),
		Timers:  len(p.timers),
	}
}
