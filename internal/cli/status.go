package cli

import (
	"bytes"
	"fmt"
	"net/url"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/operator"
	"github.com/berylfall/berylfall/internal/operator/operatorhttp"
)

type statusCommand struct {
	outputOption
	session *session
}

// Execute prints the status of every daemon that answers, and fails if any did not.
func (c *statusCommand) Execute([]string) error {
	var reports []operator.StatusReport
	var lastErr error
	for _, base := range c.session.options.Address {
		var report operator.StatusReport
		if err := c.session.getFrom(base, operatorhttp.PathStatus, &report); err != nil {
			lastErr = err
			c.session.warnf("%s: %v\n", base, err)
			continue
		}
		reports = append(reports, report)
	}
	if c.Output == "json" {
		if err := c.session.printJSON(reports); err != nil {
			return err
		}
		return lastErr
	}
	for _, report := range reports {
		c.session.printStatus(report)
	}
	return lastErr
}

func (s *session) printStatus(r operator.StatusReport) {
	s.printf("daemon %s  data centre %s  region %s  version %s  up %s\n", r.Daemon, r.DataCentre, r.Region, r.Version, time.Duration(r.Uptime).Round(time.Second))
	s.printf("draining: %t  requests in flight: %d\n", r.Drain.Draining, r.Drain.InFlight)
	table := tabwriter.NewWriter(s.app.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "\nCONTRACT\tVERSION IN FORCE")
	for _, c := range r.Contracts {
		deleted := ""
		if c.Deleted {
			deleted = " (deleted)"
		}
		_, _ = fmt.Fprintf(table, "%s\t%d%s\n", c.Customer, c.Version, deleted)
	}
	_, _ = fmt.Fprintln(table, "\nBACKEND SERVER\tADDRESS\tDATA CENTRE\tSERVICE\tKIND\tSTATE")
	for _, b := range r.Servers {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\n", b.ID, b.Address, b.DataCentre, b.Service, b.Kind, b.State)
	}
	_, _ = fmt.Fprintln(table, "\nLEASE\tFENCING NUMBER\tUNTIL")
	for _, l := range r.Leases {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%s\n", l.Name, l.Fencing, l.Until.UTC().Format(time.RFC3339))
	}
	_, _ = fmt.Fprintln(table, "\nDUTY\tRING\tDEPTH\tPEAK\tCAPACITY\tREFUSED\tDROPPED")
	for _, d := range r.Duties {
		for _, ring := range d.Rings {
			_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%d\n", d.Name, ring.Name, ring.Depth, ring.Peak, ring.Capacity, ring.Refused, ring.Dropped)
		}
	}
	_ = table.Flush()
	s.printf("\n")
}

type burnCommand struct {
	outputOption
	Image   string `long:"image" value-name:"FILE" description:"also draw the report into this file, whose name ends in .png or .svg"`
	session *session
}

// Execute merges the reports of all daemons. If a daemon does not answer, the
// partial report is printed and the command fails.
func (c *burnCommand) Execute([]string) error {
	format, err := imageFormat(c.Image)
	if err != nil {
		return err
	}
	var reports []operator.BurnReport
	var lastErr error
	for _, base := range c.session.options.Address {
		var report operator.BurnReport
		if err := c.session.getFrom(base, operatorhttp.PathBurn, &report); err != nil {
			lastErr = fmt.Errorf("the report is partial: %w", err)
			continue
		}
		reports = append(reports, report)
	}
	if len(reports) == 0 {
		return lastErr
	}
	merged := operator.MergeBurnReports(reports)
	if err := c.print(merged, format); err != nil {
		return err
	}
	return lastErr
}

func (c *burnCommand) print(report operator.BurnReport, format operator.ChartFormat) error {
	if c.Image != "" {
		var image bytes.Buffer
		if err := report.WriteChart(&image, format); err != nil {
			return err
		}
		if err := c.session.app.WriteFile(c.Image, image.Bytes()); err != nil {
			return err
		}
	}
	if c.Output == "json" {
		return c.session.printJSON(report)
	}
	return report.WriteText(c.session.app.Stdout)
}

func imageFormat(path string) (operator.ChartFormat, error) {
	switch strings.ToLower(filepath.Ext(path)) {
	case ".png":
		return operator.ChartPNG, nil
	case ".svg":
		return operator.ChartSVG, nil
	}
	if path == "" {
		return "", nil
	}
	return "", usageError("--image", path, "a file name that ends in .png or .svg")
}

type drainCommand struct {
	outputOption
	Off     bool          `long:"off" description:"take requests again"`
	Wait    time.Duration `long:"wait" description:"wait up to this long until no request is in flight, up to 24h"`
	session *session
}

// Execute starts or ends the drain of a single daemon.
func (c *drainCommand) Execute([]string) error {
	s := c.session
	const longestWait = 24 * time.Hour
	if c.Wait < 0 || c.Wait > longestWait {
		return usageError("--wait", c.Wait.String(), "0 to 24h")
	}
	if c.Off && c.Wait > 0 {
		return usageError("--wait", c.Wait.String(), "no --wait together with --off")
	}
	if len(s.options.Address) != 1 {
		return usageError("--address", strings.Join(s.options.Address, ","), "exactly one daemon to drain")
	}
	var state operator.DrainState
	if err := s.sendChange(consts.MethodPost, operatorhttp.PathDrain, operatorhttp.DrainMessage{Drain: !c.Off}, &state); err != nil {
		return err
	}
	if c.Wait > 0 {
		if err := c.waitUntilIdle(&state); err != nil {
			return err
		}
	}
	if c.Output == "json" {
		return s.printJSON(state)
	}
	s.printf("draining: %t, requests in flight: %d\n", state.Draining, state.InFlight)
	return nil
}

// waitUntilIdle waits for the grace period, in which the daemon still accepts
// requests, and then polls the daemon until no request is in flight.
func (c *drainCommand) waitUntilIdle(state *operator.DrainState) error {
	s := c.session
	s.app.Sleep(min(c.Wait, operator.MaxDrainGrace))
	deadline := time.Now().Add(c.Wait - min(c.Wait, operator.MaxDrainGrace))
	for {
		var report operator.StatusReport
		if err := s.getFromAny(operatorhttp.PathStatus, &report); err != nil {
			return err
		}
		*state = report.Drain
		if state.InFlight == 0 {
			return nil
		}
		if !time.Now().Before(deadline) || s.ctx.Err() != nil {
			return &core.Error{
				Code: core.CodeDeadline, Verdict: core.Ran,
				Reason: fmt.Sprintf("the daemon drains, but %d requests are still in flight", state.InFlight),
			}
		}
		s.app.Sleep(pollPeriod)
	}
}

type explainCommand struct {
	outputOption
	Args struct {
		Request string `positional-arg-name:"REQUEST" required:"yes"`
	} `positional-args:"yes"`
	session *session
}

// Execute queries the daemons in order until one has a record of the request.
func (c *explainCommand) Execute([]string) error {
	s := c.session
	var err error
	for _, base := range s.options.Address {
		var record operator.RequestRecord
		err = s.getFrom(base, operatorhttp.PathRequests+"/"+url.PathEscape(c.Args.Request), &record)
		if err != nil {
			continue
		}
		if c.Output == "json" {
			return s.printJSON(record)
		}
		s.printf("%s", record.Text())
		return nil
	}
	return err
}
