package hosted

import (
	"context"
	"time"

	"github.com/berylfall/berylfall/internal/platform"
	adapter "github.com/berylfall/berylfall/platform"
)

// contactStore is the client of the store. It reports when the requests were sent that
// the store answered at once, as opposed to watches.
type contactStore struct {
	*adapter.Store
	now       func() time.Time
	onContact func(sentAt time.Time) // runs on pool goroutines; it is set before the duties start
}

var (
	_ platform.ObjectAPI = (*contactStore)(nil)
	_ platform.Pinger    = (*contactStore)(nil)
)

func (s *contactStore) report(sentAt time.Time, err error) {
	if err == nil {
		s.onContact(sentAt)
	}
}

// Ping implements platform.Pinger.
func (s *contactStore) Ping(ctx context.Context) error {
	sentAt := s.now()
	err := s.Store.Ping(ctx)
	s.report(sentAt, err)
	return err
}

// Get implements platform.ObjectAPI.
func (s *contactStore) Get(ctx context.Context, key string) (platform.Object, error) {
	sentAt := s.now()
	o, err := s.Store.Get(ctx, key)
	s.report(sentAt, err)
	return o, err
}

// Put implements platform.ObjectAPI.
func (s *contactStore) Put(ctx context.Context, w platform.Write) (platform.Object, error) {
	sentAt := s.now()
	o, err := s.Store.Put(ctx, w)
	s.report(sentAt, err)
	return o, err
}

// Delete implements platform.ObjectAPI.
func (s *contactStore) Delete(ctx context.Context, w platform.Write) (platform.Object, error) {
	sentAt := s.now()
	o, err := s.Store.Delete(ctx, w)
	s.report(sentAt, err)
	return o, err
}
