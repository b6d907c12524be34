package settings

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/ring"
)

// ReloadPeriod is the interval between reads of the token and certificate files.
const ReloadPeriod = time.Second

// Reloader loads a file's content if it changed. On an error it keeps the content
// loaded before.
type Reloader interface {
	Reload() error
}

type reloadResult struct {
	path string
	err  error
}

// FileReloader is the duty that reloads changed files. It owns the state of each
// reload; the files are read on the pool, since a disk read may block.
type FileReloader struct {
	loop       *duty.Loop
	pool       *duty.Pool
	log        *logrus.Entry
	results    *ring.Ring[reloadResult]
	sources    map[string]Reloader
	inProgress map[string]bool
	lastErrors map[string]string // last error by path, so that repeats are not logged
}

// NewFileReloader returns a duty that reloads the sources, which are keyed by path.
func NewFileReloader(clock duty.Clock, log *logrus.Entry, pool *duty.Pool, sources map[string]Reloader) *FileReloader {
	f := &FileReloader{
		loop:       duty.New("files", clock),
		pool:       pool,
		log:        log,
		results:    ring.New[reloadResult]("files.results", max(1, len(sources))),
		sources:    sources,
		inProgress: map[string]bool{},
		lastErrors: map[string]string{},
	}
	duty.On(f.loop, f.results, f.handleResult)
	f.loop.Every(ReloadPeriod, f.startReloads)
	return f
}

// Loop returns the duty's loop.
func (f *FileReloader) Loop() *duty.Loop { return f.loop }

func (f *FileReloader) startReloads() {
	for path, source := range f.sources {
		if f.inProgress[path] {
			continue
		}
		f.inProgress[path] = f.pool.TryGo(func() {
			f.results.TryPut(reloadResult{path: path, err: source.Reload()})
		})
	}
}

func (f *FileReloader) handleResult(r reloadResult) {
	f.inProgress[r.path] = false
	if r.err == nil {
		delete(f.lastErrors, r.path)
		return
	}
	if f.lastErrors[r.path] == r.err.Error() {
		return
	}
	f.lastErrors[r.path] = r.err.Error()
	f.log.WithError(r.err).WithField("file", r.path).Error("file cannot be used; its earlier content stays in force")
}
