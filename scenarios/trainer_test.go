package scenarios

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/berylfall/berylfall/internal/core"
	standin "github.com/berylfall/berylfall/internal/standin/trainer"
	"github.com/berylfall/berylfall/internal/trainer"
)

// trainerLimit limits the time of one step, including lease takeovers of up to
// 11 s each.
const trainerLimit = 3 * time.Minute

// trainerOptions are the flags of the program trainer.
type trainerOptions struct {
	Daemons     []string `long:"daemons" required:"true" description:"address of a daemon; repeat the flag for each"`
	Customer    string   `long:"customer" required:"true"`
	Name        string   `long:"name" required:"true" description:"name of the trainer in the contract"`
	Model       string   `long:"model" required:"true"`
	Step        int64    `long:"step" required:"true"`
	Groups      int      `long:"groups" required:"true"`
	Samples     int      `long:"samples" required:"true" description:"samples of each group"`
	MaxTokens   int      `long:"max-tokens" default:"16"`
	HoldAt      []int    `long:"hold-at" description:"number of accepted groups at which the trainer waits for SIGUSR1; repeat the flag for each"`
	AddressFile string   `long:"address-file" description:"file that is written once signals are handled"`
}

// learner checks the deliveries that the trainer accepts, independently of the
// trainer's own state.
type learner struct {
	options  trainerOptions
	resume   chan os.Signal
	counts   map[int]int // number of accepted deliveries, by group
	versions map[core.Version]bool
	err      error
}

// mainTrainer runs one step, prints the number of accepted groups as "learned" and
// returns the exit code.
func mainTrainer(args []string) int {
	var o trainerOptions
	if _, err := flags.ParseArgs(&o, args); err != nil {
		return 2
	}
	if err := runTrainer(o); err != nil {
		fmt.Fprintln(os.Stderr, "trainer:", err)
		return 1
	}
	return 0
}

func runTrainer(o trainerOptions) error {
	ctx, cancel := context.WithTimeout(context.Background(), trainerLimit)
	defer cancel()
	l := &learner{options: o, resume: make(chan os.Signal, 1), counts: map[int]int{}, versions: map[core.Version]bool{}}
	signal.Notify(l.resume, syscall.SIGUSR1)
	if o.AddressFile != "" {
		partial := o.AddressFile + ".partial"
		if err := errors.Join(os.WriteFile(partial, []byte("{}"), 0o644), os.Rename(partial, o.AddressFile)); err != nil {
			return err
		}
	}
	c, err := standin.NewClient(o.Name, core.CustomerID(o.Customer), o.Daemons...)
	if err != nil {
		return err
	}
	c.OnDelivery = func(d trainer.Delivery) { l.learn(ctx, d) }
	spec := trainer.StepSpec{Step: o.Step, Model: o.Model, MaxTokens: o.MaxTokens}
	for i := range o.Groups {
		spec.Groups = append(spec.Groups, trainer.GroupSpec{Prompt: fmt.Sprint("note ", i), Samples: o.Samples})
	}
	if err := errors.Join(c.RunStep(ctx, spec), l.check()); err != nil {
		return err
	}
	versions := make([]core.Version, 0, len(l.versions))
	for v := range l.versions {
		versions = append(versions, v)
	}
	slices.Sort(versions)
	fmt.Printf("learned: %d\nrepeated: %d\nepoch: %d\nversions: %v\n", len(l.counts), c.State.Duplicates, c.State.Epoch, versions)
	return nil
}

func (l *learner) learn(ctx context.Context, d trainer.Delivery) {
	l.counts[d.Group.ID]++
	if d.Step != l.options.Step || len(d.Group.Samples) != l.options.Samples {
		l.err = errors.Join(l.err, fmt.Errorf("group %d of step %d has %d samples", d.Group.ID, d.Step, len(d.Group.Samples)))
	}
	for _, s := range d.Group.Samples {
		if len(s.Spans) == 0 {
			l.err = errors.Join(l.err, fmt.Errorf("a sample of group %d has no version", d.Group.ID))
		}
		for _, span := range s.Spans {
			l.versions[span.Version] = true
		}
	}
	if !slices.Contains(l.options.HoldAt, len(l.counts)) {
		return
	}
	fmt.Println("holding at", len(l.counts))
	select {
	case <-l.resume:
	case <-ctx.Done():
	}
}

// check returns an error for each group that was not accepted exactly once.
func (l *learner) check() error {
	err := l.err
	for id := range l.options.Groups {
		if n := l.counts[id]; n != 1 {
			err = errors.Join(err, fmt.Errorf("group %d was accepted %d times", id, n))
		}
	}
	if len(l.counts) != l.options.Groups {
		err = errors.Join(err, fmt.Errorf("%d groups accepted, want %d", len(l.counts), l.options.Groups))
	}
	return err
}
