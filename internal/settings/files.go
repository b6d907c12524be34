package settings

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/ring"
)

// ReloadPeriod is how often the files of tokens and certificates are read.
const ReloadPeriod = time.Second

// Reloader reads a file again if it changed.
type Reloader interface {
	Reload() error
}

type reloaded struct {
	path string
	err  error
}

// FileReloader is the duty that reads changed files again. The files are read on a
// pool, since a read of a disk may take long.
type FileReloader struct {
	loop    *duty.Loop
	pool    *duty.Pool
	log     *logrus.Entry
	results *ring.Ring[reloaded]
	sources map[string]Reloader
	reading map[string]bool
	failed  map[string]string // last error by path, so that each is logged once
}

// NewFileReloader returns the duty for the given sources by path.
func NewFileReloader(clock duty.Clock, log *logrus.Entry, pool *duty.Pool, sources map[string]Reloader) *FileReloader {
	f := &FileReloader{
		loop:    duty.New("files", clock),
		pool:    pool,
		log:     log,
		results: ring.New[reloaded]("files.results", max(1, len(sources))),
		sources: sources,
		reading: map[string]bool{},
		failed:  map[string]string{},
	}
	duty.On(f.loop, f.results, f.handleResult)
	f.loop.Every(ReloadPeriod, f.readAll)
	return f
}

// Loop returns the duty's loop.
func (f *FileReloader) Loop() *duty.Loop { return f.loop }

func (f *FileReloader) readAll() {
	for path, source := range f.sources {
		if f.reading[path] {
			continue
		}
		f.reading[path] = f.pool.TryGo(func() {
			f.results.TryPut(reloaded{path: path, err: source.Reload()})
		})
	}
}

func (f *FileReloader) handleResult(r reloaded) {
	f.reading[r.path] = false
	if r.err == nil {
		delete(f.failed, r.path)
		return
	}
	if f.failed[r.path] == r.err.Error() {
		return
	}
	f.failed[r.path] = r.err.Error()
	f.log.WithError(r.err).WithField("file", r.path).Error("file cannot be used; its earlier content stays in force")
}
