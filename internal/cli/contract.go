package cli

import (
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/goccy/go-yaml"
	"github.com/rogpeppe/go-internal/diff"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/operator"
	"github.com/berylfall/berylfall/internal/operator/operatorhttp"
	"github.com/berylfall/berylfall/internal/platform"
)

type fileOption struct {
	File string `short:"f" long:"file" required:"yes" value-name:"FILE" description:"contract file"`
}

type versionOption struct {
	IfVersion *int64 `long:"if-version" value-name:"N" description:"make the change only if this version is stored; 0: none is stored; -1: whatever is stored"`
}

func (v versionOption) check() error {
	if v.IfVersion != nil && *v.IfVersion < platform.AnyVersion {
		return usageError("--if-version", strconv.FormatInt(*v.IfVersion, 10), "a version, 0 for a new contract, -1 for any version")
	}
	return nil
}

type customerArgument struct {
	Args struct {
		Customer string `positional-arg-name:"CUSTOMER" required:"yes"`
	} `positional-args:"yes"`
}

func (s *session) readContract(file string) (*core.Contract, error) {
	data, err := s.app.ReadFile(file)
	if err != nil {
		return nil, invalidFile("--file", file, err)
	}
	return operator.ParseContract(file, data)
}

func contractPath(customer string) string {
	return operatorhttp.PathContracts + "/" + url.PathEscape(customer)
}

// getStored reads the stored contract. If there is none, it returns version 0.
func (s *session) getStored(customer string) (operatorhttp.ContractMessage, error) {
	var message operatorhttp.ContractMessage
	err := s.getFromAny(contractPath(customer), &message)
	if err != nil && core.CodeOf(err) == core.CodeNotFound {
		return operatorhttp.ContractMessage{}, nil
	}
	return message, err
}

type validateCommand struct {
	Files   []string `short:"f" long:"file" required:"yes" value-name:"FILE" description:"contract file; repeat it for several"`
	session *session
}

// Execute validates all files and reports the problems of all of them at once.
func (c *validateCommand) Execute([]string) error {
	var problems operator.Problems
	for _, file := range c.Files {
		contract, err := c.session.readContract(file)
		var found operator.Problems
		switch {
		case errors.As(err, &found):
			problems = append(problems, found...)
		case err != nil:
			return err
		default:
			c.session.printf("%s: valid contract of customer %s\n", file, contract.Customer)
		}
	}
	if len(problems) > 0 {
		return fmt.Errorf("%d problems\n%w", len(problems), problems)
	}
	return nil
}

type applyCommand struct {
	fileOption
	versionOption
	outputOption
	DryRun  bool `long:"dry-run" description:"check everything and print the differences, but change nothing"`
	session *session
}

// Execute validates the file locally and sends it on condition that the stored
// version has not changed since the command started.
func (c *applyCommand) Execute([]string) error {
	s := c.session
	if err := c.check(); err != nil {
		return err
	}
	contract, err := s.readContract(c.File)
	if err != nil {
		return err
	}
	before, err := s.getStored(string(contract.Customer))
	if err != nil {
		return err
	}
	expected := before.Version
	if c.IfVersion != nil {
		expected = *c.IfVersion
	}
	query := url.Values{operatorhttp.QueryIfVersion: {strconv.FormatInt(expected, 10)}}
	if c.DryRun {
		query.Set(operatorhttp.QueryDryRun, "true")
	}
	var after operatorhttp.ContractMessage
	err = s.sendChange(consts.MethodPut, contractPath(string(contract.Customer))+"?"+query.Encode(), contract, &after)
	if core.CodeOf(errorOrInternal(err)) == core.CodeConflict {
		s.printConflict(contract)
	}
	if err != nil {
		return err
	}
	return c.print(before, after, contract)
}

// errorOrInternal replaces a nil error, which core.CodeOf does not accept.
func errorOrInternal(err error) error {
	if err == nil {
		return &core.Error{Code: core.CodeInternal}
	}
	return err
}

// printConflict prints the differences between the stored and the local contract.
func (s *session) printConflict(local *core.Contract) {
	stored, err := s.getStored(string(local.Customer))
	if err != nil {
		s.warnf("the stored contract cannot be read: %v\n", err)
		return
	}
	s.warnf("%s", contractDiff(stored, local, "ours"))
}

func (c *applyCommand) print(before, after operatorhttp.ContractMessage, contract *core.Contract) error {
	s := c.session
	if after.Warning != "" {
		s.warnf("warning: %s\n", after.Warning)
	}
	if c.Output == "json" {
		return s.printJSON(after)
	}
	if after.DryRun {
		s.printf("%scontract of %s is valid; version %d is stored; nothing changed\n", contractDiff(before, contract, "file"), contract.Customer, after.Version)
		return nil
	}
	s.printf("contract of %s is stored as version %d\n", after.Customer, after.Version)
	return nil
}

// contractDiff returns a unified diff from the stored to the local contract, or ""
// if they are equal.
func contractDiff(stored operatorhttp.ContractMessage, local *core.Contract, localName string) string {
	old, err := contractText(stored.Contract)
	if err != nil {
		return err.Error() + "\n"
	}
	updated, err := contractText(local)
	if err != nil {
		return err.Error() + "\n"
	}
	return string(diff.Diff(fmt.Sprintf("stored version %d", stored.Version), old, localName, updated))
}

func contractText(contract *core.Contract) ([]byte, error) {
	if contract == nil {
		return nil, nil
	}
	return yaml.Marshal(contract)
}

type getCommand struct {
	outputOption
	customerArgument
	session *session
}

// Execute prints the stored contract in the format of a contract file.
func (c *getCommand) Execute([]string) error {
	var message operatorhttp.ContractMessage
	if err := c.session.getFromAny(contractPath(c.Args.Customer), &message); err != nil {
		return err
	}
	if c.Output == "json" {
		return c.session.printJSON(message)
	}
	text, err := contractText(message.Contract)
	if err != nil {
		return err
	}
	c.session.printf("# version %d\n%s", message.Version, text)
	return nil
}

type listCommand struct {
	outputOption
	session *session
}

// Execute prints one line for each stored contract.
func (c *listCommand) Execute([]string) error {
	var message operatorhttp.ContractListMessage
	if err := c.session.getFromAny(operatorhttp.PathContracts, &message); err != nil {
		return err
	}
	if c.Output == "json" {
		return c.session.printJSON(message)
	}
	table := tabwriter.NewWriter(c.session.app.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "CUSTOMER\tVERSION\tSERVICES")
	for _, m := range message.Contracts {
		names := make([]string, 0, len(m.Contract.Services))
		for _, service := range m.Contract.Services {
			names = append(names, service.Name)
		}
		_, _ = fmt.Fprintf(table, "%s\t%d\t%s\n", m.Customer, m.Version, strings.Join(names, ", "))
	}
	return table.Flush()
}

type diffCommand struct {
	fileOption
	outputOption
	session *session
}

// Execute prints the differences from the stored contract to the file.
func (c *diffCommand) Execute([]string) error {
	contract, err := c.session.readContract(c.File)
	if err != nil {
		return err
	}
	stored, err := c.session.getStored(string(contract.Customer))
	if err != nil {
		return err
	}
	text := contractDiff(stored, contract, c.File)
	if c.Output == "json" {
		return c.session.printJSON(struct {
			Customer core.CustomerID `json:"customer"`
			Version  int64           `json:"version"`
			Diff     string          `json:"diff"`
		}{contract.Customer, stored.Version, text})
	}
	if text == "" {
		text = fmt.Sprintf("no difference from stored version %d\n", stored.Version)
	}
	c.session.printf("%s", text)
	return nil
}

type deleteCommand struct {
	versionOption
	customerArgument
	session *session
}

// Execute deletes the contract on condition that the stored version has not
// changed since the command started.
func (c *deleteCommand) Execute([]string) error {
	s := c.session
	if err := c.check(); err != nil {
		return err
	}
	var stored operatorhttp.ContractMessage
	if err := s.getFromAny(contractPath(c.Args.Customer), &stored); err != nil {
		return err
	}
	expected := stored.Version
	if c.IfVersion != nil {
		expected = *c.IfVersion
	}
	var after operatorhttp.ContractMessage
	path := contractPath(c.Args.Customer) + "?" + operatorhttp.QueryIfVersion + "=" + strconv.FormatInt(expected, 10)
	if err := s.sendChange(consts.MethodDelete, path, nil, &after); err != nil {
		return err
	}
	if after.Warning != "" {
		s.warnf("warning: %s\n", after.Warning)
	}
	s.printf("contract of %s is deleted; its tombstone is version %d\n", after.Customer, after.Version)
	return nil
}

type historyCommand struct {
	outputOption
	customerArgument
	session *session
}

// Execute prints the recorded changes, oldest first, and marks gaps in the
// versions.
func (c *historyCommand) Execute([]string) error {
	var history operator.History
	if err := c.session.getFromAny(contractPath(c.Args.Customer)+"/history", &history); err != nil {
		return err
	}
	if c.Output == "json" {
		return c.session.printJSON(history)
	}
	table := tabwriter.NewWriter(c.session.app.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "VERSION\tTIME\tWHO\tDIGEST\tCHANGE")
	for i, e := range history.Entries {
		if i > 0 && e.Version > history.Entries[i-1].Version+1 {
			_, _ = fmt.Fprintf(table, "(versions between %d and %d: not recorded)\n", history.Entries[i-1].Version, e.Version)
		}
		const shownDigest = 12 // hexadecimal digits
		what, digest := "applied", e.Digest
		if e.Deleted {
			what, digest = "deleted", "-"
		}
		_, _ = fmt.Fprintf(table, "%d\t%s\t%s\t%.*s\t%s\n", e.Version, e.Time.UTC().Format(time.RFC3339), e.Author, shownDigest, digest, what)
	}
	return table.Flush()
}

type waitCommand struct {
	Version int64         `long:"version" description:"version to wait for; 0: the version that is stored when the command starts"`
	MaxWait time.Duration `long:"for" default:"30s" description:"longest wait, up to 1h"`
	customerArgument
	session *session
}

// pollPeriod is the interval between polls of the daemons.
const pollPeriod = 200 * time.Millisecond

// Execute polls the daemons until the version or a later one is in force on each.
func (c *waitCommand) Execute([]string) error {
	s := c.session
	if c.Version < 0 {
		return usageError("--version", strconv.FormatInt(c.Version, 10), "0 or more")
	}
	if c.MaxWait < 0 || c.MaxWait > time.Hour {
		return usageError("--for", c.MaxWait.String(), "0 to 1h")
	}
	version := c.Version
	if version == 0 {
		var stored operatorhttp.ContractMessage
		if err := s.getFromAny(contractPath(c.Args.Customer), &stored); err != nil {
			return err
		}
		version = stored.Version
	}
	deadline := time.Now().Add(c.MaxWait)
	for {
		laggingDaemons := c.laggingDaemons(version)
		if len(laggingDaemons) == 0 {
			s.printf("version %d of %s is in force on %d daemons\n", version, c.Args.Customer, len(s.options.Address))
			return nil
		}
		if !time.Now().Before(deadline) || s.ctx.Err() != nil {
			return core.NotRunError(core.CodeDeadline, "version %d of %s is not in force on %d of %d daemons:\n%s",
				version, c.Args.Customer, len(laggingDaemons), len(s.options.Address), strings.Join(laggingDaemons, "\n"))
		}
		s.app.Sleep(pollPeriod)
	}
}

// laggingDaemons describes each daemon that has an older version in force or
// cannot be reached.
func (c *waitCommand) laggingDaemons(version int64) []string {
	var list []string
	for _, base := range c.session.options.Address {
		var report operator.StatusReport
		if err := c.session.getFrom(base, operatorhttp.PathStatus, &report); err != nil {
			list = append(list, fmt.Sprintf("  %s: %v", base, err))
			continue
		}
		if inForce := report.VersionInForce(core.CustomerID(c.Args.Customer)); inForce < version {
			list = append(list, fmt.Sprintf("  %s (%s): has version %d", base, report.Daemon, inForce))
		}
	}
	return list
}
