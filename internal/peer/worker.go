package peer

// workerPool runs jobs concurrently and reuses goroutines, to avoid growing a new
// stack for each job.
type workerPool struct {
	jobs chan func()
	stop chan struct{}
	idle chan struct{} // semaphore of idle goroutines
}

// maxIdleWorkers is the maximum number of idle goroutines that are kept.
const maxIdleWorkers = 64

func newWorkerPool() *workerPool {
	return &workerPool{
		jobs: make(chan func()),
		stop: make(chan struct{}),
		idle: make(chan struct{}, maxIdleWorkers),
	}
}

// run starts job on an idle goroutine, or on a new one if none is idle.
func (w *workerPool) run(job func()) {
	select {
	case w.jobs <- job:
	default:
		go w.runJobs(job)
	}
}

func (w *workerPool) runJobs(job func()) {
	for {
		job()
		select {
		case w.idle <- struct{}{}:
		default:
			return
		}
		select {
		case job = <-w.jobs:
			<-w.idle
		case <-w.stop:
			return
		}
	}
}

// close stops idle goroutines.
func (w *workerPool) close() { close(w.stop) }
