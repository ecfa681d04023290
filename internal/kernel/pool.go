package kernel

import (
	"context"
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

// PoolConfig sizes a pool.
type PoolConfig struct {
	// Workers run short jobs, which do not wait for I/O.
	Workers int
	// IOWorkers run jobs that wait for I/O.
	IOWorkers int
	// Queue bounds the jobs of each kind that are not yet started.
	Queue int
}

// DefaultPoolConfig returns the sizes for one node.
func DefaultPoolConfig() PoolConfig {
	return PoolConfig{Workers: 2, IOWorkers: 12, Queue: 256}
}

// Job is a named unit of work. Its context ends when the pool closes.
type Job struct {
	Name string
	Run  func(ctx context.Context)
}

// PoolStats counts what a pool did.
type PoolStats struct {
	Started uint64 `json:"started"`
	Panics  uint64 `json:"panics"`
	Refused uint64 `json:"refused"`
	Timers  int    `json:"timers"`
}

// Pool runs jobs on a fixed set of workers.
type Pool struct {
	cfg    PoolConfig
	logger *slog.Logger
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	short  chan Job
	long   chan Job

	started atomic.Uint64
	panics  atomic.Uint64
	refused atomic.Uint64

	mu     *Mutex
	timers map[*Timer]struct{}
	closed bool
}

// NewPool returns a pool whose workers run until Close.
func NewPool(cfg PoolConfig, logger *slog.Logger) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Pool{
		cfg:    cfg,
		logger: logger,
		ctx:    ctx,
		cancel: cancel,
		short:  make(chan Job, cfg.Queue),
		long:   make(chan Job, cfg.Queue),
		mu:     NewMutex(RankWorkerPool),
		timers: map[*Timer]struct{}{},
	}
	for range cfg.Workers {
		p.wg.Add(1)
		go p.run(p.short)
	}
	for range cfg.IOWorkers {
		p.wg.Add(1)
		go p.run(p.long)
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

// Submit queues a short job.
func (p *Pool) Submit(name string, run func(ctx context.Context)) error {
	return p.enqueue(p.short, Job{Name: name, Run: run})
}

// SubmitIO queues a job that waits for I/O.
func (p *Pool) SubmitIO(name string, run func(ctx context.Context)) error {
	return p.enqueue(p.long, Job{Name: name, Run: run})
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

// Timer runs a job after a delay, once or repeatedly.
type Timer struct {
	pool  *Pool
	timer *time.Timer
}

// Stop ends the timer. A job that already started goes on.
func (t *Timer) Stop() {
	t.timer.Stop()
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	delete(t.pool.timers, t)
}

// reset starts the timer again unless it was stopped.
func (t *Timer) reset(delay func() time.Duration) {
	d := delay()
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	if _, ok := t.pool.timers[t]; ok {
		t.timer.Reset(d)
	}
}

// After runs a short job once after the delay.
func (p *Pool) After(delay time.Duration, name string, run func(ctx context.Context)) *Timer {
	t := &Timer{pool: p}
	p.arm(t, delay, func() {
		t.Stop()
		_ = p.Submit(name, run)
	})
	return t
}

// Every runs a job with the given delay between two runs, until the pool
// closes. The delay function is asked before each run, so that it can add
// jitter. Waiting marks a job that waits for I/O.
func (p *Pool) Every(delay func() time.Duration, waiting bool, name string, run func(ctx context.Context)) *Timer {
	t := &Timer{pool: p}
	jobs := p.short
	if waiting {
		jobs = p.long
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

func (p *Pool) arm(t *Timer, delay time.Duration, fire func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t.timer = time.AfterFunc(time.Hour, fire)
	if p.closed {
		t.timer.Stop()
		return
	}
	t.timer.Reset(delay)
	p.timers[t] = struct{}{}
}

// Close stops all timers, cancels the context of running jobs and waits for
// the workers.
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

// Stats returns the counts.
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
