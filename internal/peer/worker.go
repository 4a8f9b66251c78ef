package peer

// workers runs calls side by side and reuses goroutines, whose stacks have
// grown already.
type workers struct {
	jobs chan func()
	stop chan struct{}
	idle chan struct{} // one token for each goroutine that may wait idle
}

// maxIdleWorkers is how many goroutines wait for calls.
const maxIdleWorkers = 64

func newWorkers() *workers {
	return &workers{
		jobs: make(chan func()),
		stop: make(chan struct{}),
		idle: make(chan struct{}, maxIdleWorkers),
	}
}

// run runs job on an idle goroutine, or on a new one when none is idle.
func (w *workers) run(job func()) {
	select {
	case w.jobs <- job:
	default:
		go w.work(job)
	}
}

func (w *workers) work(job func()) {
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

// close ends the idle goroutines.
func (w *workers) close() { close(w.stop) }
