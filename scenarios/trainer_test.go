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

// trainerTimeout limits the time of one step, including lease takeovers of up to
// 11 s each.
const trainerTimeout = 3 * time.Minute

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

// deliveryChecker checks the deliveries that the trainer accepts, independently of
// the trainer's own state.
type deliveryChecker struct {
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
	ctx, cancel := context.WithTimeout(context.Background(), trainerTimeout)
	defer cancel()
	checker := &deliveryChecker{options: o, resume: make(chan os.Signal, 1), counts: map[int]int{}, versions: map[core.Version]bool{}}
	signal.Notify(checker.resume, syscall.SIGUSR1)
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
	c.OnDelivery = func(d trainer.Delivery) { checker.record(ctx, d) }
	spec := trainer.StepSpec{Step: o.Step, Model: o.Model, MaxTokens: o.MaxTokens}
	for i := range o.Groups {
		spec.Groups = append(spec.Groups, trainer.GroupSpec{Prompt: fmt.Sprint("note ", i), Samples: o.Samples})
	}
	if err := errors.Join(c.RunStep(ctx, spec), checker.check()); err != nil {
		return err
	}
	versions := make([]core.Version, 0, len(checker.versions))
	for v := range checker.versions {
		versions = append(versions, v)
	}
	slices.Sort(versions)
	fmt.Printf("learned: %d\nrepeated: %d\nepoch: %d\nversions: %v\n", len(checker.counts), c.State.Duplicates, c.State.Epoch, versions)
	return nil
}

func (c *deliveryChecker) record(ctx context.Context, d trainer.Delivery) {
	c.counts[d.Group.ID]++
	if d.Step != c.options.Step || len(d.Group.Samples) != c.options.Samples {
		c.err = errors.Join(c.err, fmt.Errorf("group %d of step %d has %d samples", d.Group.ID, d.Step, len(d.Group.Samples)))
	}
	for _, s := range d.Group.Samples {
		if len(s.Spans) == 0 {
			c.err = errors.Join(c.err, fmt.Errorf("a sample of group %d has no version", d.Group.ID))
		}
		for _, span := range s.Spans {
			c.versions[span.Version] = true
		}
	}
	if !slices.Contains(c.options.HoldAt, len(c.counts)) {
		return
	}
	fmt.Println("holding at", len(c.counts))
	select {
	case <-c.resume:
	case <-ctx.Done():
	}
}

// check returns an error for each group that was not accepted exactly once.
func (c *deliveryChecker) check() error {
	err := c.err
	for id := range c.options.Groups {
		if n := c.counts[id]; n != 1 {
			err = errors.Join(err, fmt.Errorf("group %d was accepted %d times", id, n))
		}
	}
	if len(c.counts) != c.options.Groups {
		err = errors.Join(err, fmt.Errorf("%d groups accepted, want %d", len(c.counts), c.options.Groups))
	}
	return err
}
